package replay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/trace"
)

// What a difference shows.
const (
	linesShown      = 12
	lineBytesShown  = 500
	maxActionsShown = 50
	maxStateBytes   = 16 << 10
)

// run is one replay.
type run struct {
	file    string
	reader  *trace.Reader
	sources map[string]*source
	// recent holds the texts of the last lines.
	recent  []string
	summary Summary
}

// Run replays a trace and compares its outcomes. The error has the code
// result.BadTrace if the trace is malformed, has a gap or states no outcome,
// and result.TraceMismatch for the first difference.
func Run(ctx context.Context, file string, r io.Reader) (Summary, error) {
	one := &run{file: file, reader: trace.NewReader(file, r), sources: make(map[string]*source)}
	for {
		if err := ctx.Err(); err != nil {
			return one.summary, err
		}
		line, err := one.reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return one.summary, err
		}
		one.remember(line)
		if err := one.take(line); err != nil {
			return one.summary, err
		}
	}
	if one.summary.Outcomes == 0 {
		return one.summary, result.Errorf(result.BadTrace, "%s: states no outcome, so nothing can be compared", file)
	}
	return one.summary, nil
}

// take handles one line.
func (r *run) take(line *trace.Line) error {
	switch {
	case line.Dropped != 0:
		return r.reader.Errorf(line.Number, "the recorder dropped %d lines here; a trace can be replayed up to its first gap", line.Dropped)
	case line.Machine != "":
		m, err := newMachine(line)
		if err != nil {
			return r.reader.Errorf(line.Number, "%w", err)
		}
		r.sources[line.Source] = &source{machine: m}
		return nil
	}
	s := r.sources[line.Source]
	differs, err := r.guard(line, s)
	if err != nil {
		return r.reader.Errorf(line.Number, "%w", err)
	}
	if differs != "" {
		return r.difference(line, s, differs)
	}
	return nil
}

// guard handles an event or outcome line. A panic of the decision code is a
// difference: a recorded incident can be one.
func (r *run) guard(line *trace.Line, s *source) (differs string, err error) {
	defer func() {
		if p := recover(); p != nil {
			differs = fmt.Sprintf("the decision code panicked: %v", p)
		}
	}()
	if line.Outcome == nil {
		r.summary.Events++
		return "", s.event(line)
	}
	r.summary.Outcomes++
	return s.compare(line)
}

// remember keeps the text of a line for a difference.
func (r *run) remember(line *trace.Line) {
	text := string(r.reader.Text())
	if len(text) > lineBytesShown {
		text = text[:lineBytesShown] + "..."
	}
	r.recent = append(r.recent, fmt.Sprintf("%6d  %s", line.Number, text))
	r.recent = r.recent[max(0, len(r.recent)-linesShown):]
}

// difference describes the first difference with its context.
func (r *run) difference(line *trace.Line, s *source, differs string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: at %v, source %s:\n%s\n", r.file, line.Number, line.Time, line.Source, differs)
	b.WriteString("lines up to this one:\n")
	for _, text := range r.recent {
		fmt.Fprintf(&b, "%s\n", text)
	}
	b.WriteString("actions of the source since its last outcome line:\n")
	b.WriteString(s.actionText())
	fmt.Fprintf(&b, "state of the source:\n  %s\n", s.stateText(line.Time))
	return result.Errorf(result.TraceMismatch, "%s", b.String())
}
