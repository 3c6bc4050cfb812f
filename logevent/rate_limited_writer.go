package logevent

import (
	"bytes"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedBytes bounds the lines that wait to be written: a few seconds of
	// the usual line rate.
	maxQueuedBytes = 1 << 20
	// flushInterval batches lines into one write, because each write costs CPU
	// time.
	flushInterval = 100 * time.Millisecond
	// maxSummaries limits the summaries in a second, which don't count as other lines.
	maxSummaries = 10
)

// RateLimitedWriter is a writer whose Write does not wait for the underlying
// writer: a goroutine writes the queued lines. The loggers of NewRateLimited
// drop and count lines that find the queue full or that exceed the limit of
// their level in a second.
type RateLimitedWriter struct {
	mu            sync.Mutex
	queue         bytes.Buffer
	dropped       int64
	windowLines   int
	summaries     int
	windowStart   time.Time
	linesPerSec   int
	wake          chan struct{}
	writerStopped chan struct{}
	closed        bool
}

// NewRateLimitedWriter returns a writer to w that passes at most linesPerSecond
// lines a second. Half of them are reserved for warnings and errors, so that the
// lines of successful requests cannot displace those of failed ones.
func NewRateLimitedWriter(w io.Writer, linesPerSecond int) *RateLimitedWriter {
	r := &RateLimitedWriter{linesPerSec: linesPerSecond, wake: make(chan struct{}, 1), writerStopped: make(chan struct{})}
	go r.writeQueued(w)
	return r
}

// admit reports whether a line may be written, and counts it as written or dropped.
func (r *RateLimitedWriter) admit(e zapcore.Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.windowStart) >= time.Second {
		r.windowStart, r.windowLines, r.summaries = now, 0, 0
	}
	lines, limit := &r.windowLines, r.linesPerSec
	switch {
	case e.LoggerName == summaryLogger:
		lines, limit = &r.summaries, maxSummaries
	case e.Level < zapcore.WarnLevel:
		limit = r.linesPerSec / 2
	}
	if *lines >= limit || r.queue.Len() >= maxQueuedBytes {
		r.dropped++
		return false
	}
	*lines++
	return true
}

// Write queues a line. It implements io.Writer and never fails.
func (r *RateLimitedWriter) Write(line []byte) (int, error) {
	r.mu.Lock()
	r.queue.Write(line)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (r *RateLimitedWriter) Dropped() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// writeQueued writes queued lines to w until Close.
func (r *RateLimitedWriter) writeQueued(w io.Writer) {
	defer close(r.writerStopped)
	var out bytes.Buffer
	for range r.wake {
		time.Sleep(flushInterval)
		r.flush(w, &out)
	}
	r.flush(w, &out)
}

func (r *RateLimitedWriter) flush(w io.Writer, out *bytes.Buffer) {
	out.Reset()
	r.mu.Lock()
	r.queue, *out = *out, r.queue
	r.mu.Unlock()
	if _, err := w.Write(out.Bytes()); err != nil {
		// The log itself is the only place for errors, so these lines count as
		// dropped.
		r.mu.Lock()
		r.dropped += int64(bytes.Count(out.Bytes(), []byte("\n")))
		r.mu.Unlock()
	}
}

// Close writes the queued lines and stops the writer's goroutine. Write must not
// be called afterwards.
func (r *RateLimitedWriter) Close() {
	r.mu.Lock()
	closed := r.closed
	r.closed = true
	r.mu.Unlock()
	if !closed {
		close(r.wake)
		<-r.writerStopped
	}
}

// rateLimitedCore applies the rate limit before a line is encoded.
type rateLimitedCore struct {
	zapcore.Core
	writer *RateLimitedWriter
}

func (c rateLimitedCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) || !c.writer.admit(e) {
		return checked
	}
	return checked.AddCore(e, c)
}

func (c rateLimitedCore) With(fields []zapcore.Field) zapcore.Core {
	return rateLimitedCore{c.Core.With(fields), c.writer}
}

// NewRateLimited returns a logger that writes to w and applies its rate limit.
func NewRateLimited(w *RateLimitedWriter, level string) (*Logger, error) {
	l, err := New(w, level)
	if err != nil {
		return nil, err
	}
	return &Logger{zap: l.zap.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return rateLimitedCore{core, w}
	}))}, nil
}
