package trace

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/cactusreel/cactusreel/result"
)

// Limits of a trace.
const (
	// MaxLineBytes limits the length of a line. An event with the largest batch of
	// records (1 MiB) fits into it as JSON.
	MaxLineBytes = 8 << 20
	// MaxLines limits the lines of a file; a busy node writes about 10 million a
	// day.
	MaxLines = 20_000_000
	// MaxSources limits the machines of a file.
	MaxSources = 4096
)

// Reader reads the lines of a trace. All its errors except io.EOF have the code
// result.BadTrace and name the file and the line.
type Reader struct {
	file       string
	scanner    *bufio.Scanner
	lineNumber int
	// text is the text of the line read last.
	text []byte
	// sources holds the sources with a header line.
	sources map[string]bool
	// lastTime is the time of the last line of each source.
	lastTime map[string]time.Duration
}

// NewReader returns a reader of a trace. The file name is used in errors only.
func NewReader(file string, r io.Reader) *Reader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), MaxLineBytes)
	return &Reader{file: file, scanner: scanner, sources: make(map[string]bool), lastTime: make(map[string]time.Duration)}
}

// Next returns the next line that is not empty and not a comment, or io.EOF
// after the last.
func (r *Reader) Next() (*Line, error) {
	for r.scanner.Scan() {
		r.lineNumber++
		if r.lineNumber > MaxLines {
			return nil, r.Errorf(r.lineNumber, "more than %d lines", MaxLines)
		}
		r.text = bytes.TrimSpace(r.scanner.Bytes())
		if len(r.text) == 0 || r.text[0] == '#' {
			continue
		}
		return r.decode()
	}
	if err := r.scanner.Err(); err != nil {
		if errors.Is(err, bufio.ErrTooLong) {
			return nil, r.Errorf(r.lineNumber+1, "longer than %d bytes", MaxLineBytes)
		}
		return nil, r.Errorf(r.lineNumber+1, "%w", err)
	}
	return nil, io.EOF
}

// Text returns the text of the line that Next returned last. It is valid until
// the next call of Next.
func (r *Reader) Text() []byte {
	return r.text
}

// Errorf returns an error with the code result.BadTrace about a line.
func (r *Reader) Errorf(lineNumber int, format string, args ...any) error {
	return result.Errorf(result.BadTrace, "%s:%d: "+format, append([]any{r.file, lineNumber}, args...)...)
}

func (r *Reader) decode() (*Line, error) {
	line := &Line{Number: r.lineNumber}
	if err := DecodeStrict(r.text, line); err != nil {
		return nil, r.Errorf(r.lineNumber, "%w", err)
	}
	if err := line.validate(); err != nil {
		return nil, r.Errorf(r.lineNumber, "%w", err)
	}
	if line.Dropped != 0 {
		return line, nil
	}
	if err := r.checkSource(line); err != nil {
		return nil, err
	}
	return line, nil
}

// checkSource checks a line against the earlier lines of its source.
func (r *Reader) checkSource(line *Line) error {
	declared := r.sources[line.Source]
	switch {
	case line.Machine != "" && declared:
		return r.Errorf(line.Number, "source %q is declared twice", line.Source)
	case line.Machine != "" && len(r.sources) == MaxSources:
		return r.Errorf(line.Number, "more than %d sources", MaxSources)
	case line.Machine == "" && !declared:
		return r.Errorf(line.Number, "source %q has no header line", line.Source)
	case line.Time < r.lastTime[line.Source]:
		return r.Errorf(line.Number, "time %d of source %q is before the time of its previous line, %d", line.Time, line.Source, r.lastTime[line.Source])
	}
	r.sources[line.Source] = true
	r.lastTime[line.Source] = line.Time
	return nil
}
