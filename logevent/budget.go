package logevent

import (
	"bytes"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Limits of a bounded log.
const (
	// queueBytes bounds the lines that wait for the writer: a few seconds of
	// the usual budget.
	queueBytes = 1 << 20
	// flushInterval groups lines into one write, because each write costs
	// processor time.
	flushInterval = 100 * time.Millisecond
)

// RateLimitedWriter is a writer that never blocks its callers. It passes lines on from a
// goroutine of its own. Lines that find the queue full, or that exceed the
// budget of lines a second and are not urgent, are dropped and counted.
type RateLimitedWriter struct {
	mu       sync.Mutex
	waiting  bytes.Buffer
	dropped  int64
	lines    int
	second   time.Time
	perSec   int
	wake     chan struct{}
	finished chan struct{}
	closed   bool
}

// NewRateLimitedWriter returns a writer to w that passes perSecond lines a second. Half of
// them are kept for warnings and errors: a failed request must not be dropped
// for the lines of successful ones.
func NewRateLimitedWriter(w io.Writer, perSecond int) *RateLimitedWriter {
	b := &RateLimitedWriter{perSec: perSecond, wake: make(chan struct{}, 1), finished: make(chan struct{})}
	go b.pass(w)
	return b
}

// admit decides on a line of a level.
func (b *RateLimitedWriter) admit(level zapcore.Level) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now(); now.Sub(b.second) >= time.Second {
		b.second, b.lines = now, 0
	}
	limit := b.perSec
	if level < zapcore.WarnLevel {
		limit = b.perSec / 2
	}
	if b.lines >= limit || b.waiting.Len() >= queueBytes {
		b.dropped++
		return false
	}
	b.lines++
	return true
}

// Write implements io.Writer.
func (b *RateLimitedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	b.waiting.Write(line)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (b *RateLimitedWriter) Dropped() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

func (b *RateLimitedWriter) pass(w io.Writer) {
	defer close(b.finished)
	var out bytes.Buffer
	for range b.wake {
		time.Sleep(flushInterval)
		b.flush(w, &out)
	}
	b.flush(w, &out)
}

func (b *RateLimitedWriter) flush(w io.Writer, out *bytes.Buffer) {
	out.Reset()
	b.mu.Lock()
	b.waiting, *out = *out, b.waiting
	b.mu.Unlock()
	if _, err := w.Write(out.Bytes()); err != nil {
		// There is no other place to report to: the lines count as dropped.
		b.mu.Lock()
		b.dropped += int64(bytes.Count(out.Bytes(), []byte("\n")))
		b.mu.Unlock()
	}
}

// Close writes what waits.
func (b *RateLimitedWriter) Close() {
	b.mu.Lock()
	closed := b.closed
	b.closed = true
	b.mu.Unlock()
	if !closed {
		close(b.wake)
		<-b.finished
	}
}

// budgetCore asks the budget before a line is encoded.
type budgetCore struct {
	zapcore.Core
	budget *RateLimitedWriter
}

func (c budgetCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) || !c.budget.admit(e.Level) {
		return checked
	}
	return checked.AddCore(e, c)
}

func (c budgetCore) With(fields []zapcore.Field) zapcore.Core {
	return budgetCore{c.Core.With(fields), c.budget}
}

// NewRateLimited returns a logger whose lines go through a budget.
func NewRateLimited(b *RateLimitedWriter, level string) (*Logger, error) {
	l, err := New(b, level)
	if err != nil {
		return nil, err
	}
	return &Logger{zap: l.zap.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return budgetCore{core, b}
	}))}, nil
}
