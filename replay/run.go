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

// Limits of the context that the text of a mismatch shows.
const (
	maxLinesShown     = 12
	maxLineBytesShown = 500
	maxActionsShown   = 50
	maxStateBytes     = 16 << 10
)

// replayer replays one trace.
type replayer struct {
	file    string
	reader  *trace.Reader
	sources map[string]*source
	// recent holds the numbered texts of the last lines, for a mismatch.
	recent  []string
	summary Summary
}

// Run replays a trace and checks its outcome lines; file names it in errors. The
// error has the code result.BadTrace if the trace is malformed, has a gap or has no
// outcome line, and result.TraceMismatch for the first mismatch. If ctx ends, it is
// ctx's error.
func Run(ctx context.Context, file string, r io.Reader) (Summary, error) {
	p := &replayer{file: file, reader: trace.NewReader(file, r), sources: make(map[string]*source)}
	for {
		if err := ctx.Err(); err != nil {
			return p.summary, err
		}
		line, err := p.reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return p.summary, err
		}
		p.keepRecent(line)
		if err := p.processLine(line); err != nil {
			return p.summary, err
		}
	}
	if p.summary.Outcomes == 0 {
		return p.summary, result.Errorf(result.BadTrace, "%s: no outcome line, so there is nothing to check", file)
	}
	return p.summary, nil
}

// processLine processes a line of any kind.
func (p *replayer) processLine(line *trace.Line) error {
	switch {
	case line.Dropped != 0:
		return p.reader.Errorf(line.Number, "the recorder dropped %d lines here; a trace can be replayed up to its first gap", line.Dropped)
	case line.Machine != "":
		m, err := newMachine(line)
		if err != nil {
			return p.reader.Errorf(line.Number, "%w", err)
		}
		p.sources[line.Source] = &source{machine: m}
		return nil
	}
	s := p.sources[line.Source]
	mismatch, err := p.stepOrCompare(line, s)
	if err != nil {
		return p.reader.Errorf(line.Number, "%w", err)
	}
	if mismatch != "" {
		return p.mismatchError(line, s, mismatch)
	}
	return nil
}

// stepOrCompare processes an event or outcome line. A panic of the decision code
// counts as a mismatch, because a recorded incident may contain one.
func (p *replayer) stepOrCompare(line *trace.Line, s *source) (mismatch string, err error) {
	defer func() {
		if v := recover(); v != nil {
			mismatch = fmt.Sprintf("the decision code panicked: %v", v)
		}
	}()
	if line.Outcome == nil {
		p.summary.Events++
		return "", s.step(line)
	}
	p.summary.Outcomes++
	return s.compareOutcome(line)
}

// keepRecent keeps the text of a line for the text of a mismatch.
func (p *replayer) keepRecent(line *trace.Line) {
	text := string(p.reader.Text())
	if len(text) > maxLineBytesShown {
		text = text[:maxLineBytesShown] + "..."
	}
	p.recent = append(p.recent, fmt.Sprintf("%6d  %s", line.Number, text))
	p.recent = p.recent[max(0, len(p.recent)-maxLinesShown):]
}

// mismatchError returns the error for a mismatch, with its context.
func (p *replayer) mismatchError(line *trace.Line, s *source, mismatch string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: at %v, source %s:\n%s\n", p.file, line.Number, line.Time, line.Source, mismatch)
	b.WriteString("lines up to this one:\n")
	for _, text := range p.recent {
		fmt.Fprintf(&b, "%s\n", text)
	}
	b.WriteString("actions of the source since its last outcome line:\n")
	b.WriteString(s.formatActions())
	fmt.Fprintf(&b, "state of the source:\n  %s\n", s.formatState(line.Time))
	return result.Errorf(result.TraceMismatch, "%s", b.String())
}
