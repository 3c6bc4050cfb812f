package trace

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/freshness"
)

// blockedWriter blocks every write until unblocked is closed.
type blockedWriter struct {
	bytes.Buffer
	unblocked chan struct{}
	// firstWrite is closed when the first write has begun.
	firstWrite chan struct{}
	once       sync.Once
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.firstWrite) })
	<-w.unblocked
	return w.Buffer.Write(p)
}

func (w *blockedWriter) Close() error { return nil }

// Guards against a recorder that blocks the node while the reader is slow, and
// against dropped lines that the trace does not count.
func TestRecorderNeverBlocksAndCountsGaps(t *testing.T) {
	is := is.New(t)
	w := &blockedWriter{unblocked: make(chan struct{}), firstWrite: make(chan struct{})}
	var reported uint64
	r := NewRecorder(func() (io.WriteCloser, error) { return w, nil }, 2, func(lines uint64, err error) {
		reported += lines
		is.NoErr(err)
	})
	r.Header("fresh", Freshness, freshness.DefaultConfig())
	<-w.firstWrite
	for i := range 7 {
		r.Event(time.Duration(i), "fresh", freshness.Tick{})
	}
	close(w.unblocked)
	is.NoErr(r.Close(context.Background()))
	lines := strings.Split(strings.TrimSpace(w.String()), "\n")
	is.Equal(len(lines), 4) // the header, two queued events and the gap
	is.Equal(lines[3], `{"dropped":5}`)
	is.Equal(reported, uint64(5))
	r.Event(9, "fresh", freshness.Tick{}) // after Close: no panic, nothing written
	is.Equal(len(strings.Split(strings.TrimSpace(w.String()), "\n")), 4)
}

// Guards against a gap that is recorded in the wrong position.
func TestGapIsRecordedWhereLinesAreMissing(t *testing.T) {
	is := is.New(t)
	w := &blockedWriter{unblocked: make(chan struct{}), firstWrite: make(chan struct{})}
	r := NewRecorder(func() (io.WriteCloser, error) { return w, nil }, 1, func(uint64, error) {})
	r.Header("fresh", Freshness, nil)
	<-w.firstWrite
	r.Event(1, "fresh", freshness.Tick{})
	r.Event(2, "fresh", freshness.Tick{})
	<-r.lines // as if the first event had been written
	r.Event(3, "fresh", freshness.Tick{})
	close(w.unblocked)
	is.NoErr(r.Close(context.Background()))
	is.True(strings.HasSuffix(w.String(), "\n{\"dropped\":1}\n{\"time\":3,\"source\":\"fresh\",\"event\":\"Tick\"}\n"))
}

// Guards against a failure to open the writer that is not reported, and against a
// Close that waits forever.
func TestRecorderFailures(t *testing.T) {
	is := is.New(t)
	refused := errors.New("refused")
	failures := make(chan error, 8)
	r := NewRecorder(func() (io.WriteCloser, error) { return nil, refused }, 2, func(_ uint64, err error) { failures <- err })
	is.True(errors.Is(<-failures, refused))
	for range 10 {
		r.Event(1, "x", freshness.Tick{})
	}
	is.NoErr(r.Close(context.Background()))

	neverOpens := make(chan struct{})
	defer close(neverOpens)
	stuck := NewRecorder(func() (io.WriteCloser, error) { <-neverOpens; return nil, refused }, 2, func(uint64, error) {})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errors.Is(stuck.Close(ctx), context.Canceled))
}

// Guards against a nil recorder that panics when recording is disabled.
func TestNilRecorder(t *testing.T) {
	is := is.New(t)
	var r *Recorder
	r.Header("x", Freshness, nil)
	r.Event(1, "x", freshness.Tick{})
	is.NoErr(r.Close(context.Background()))
}

// Guards against a count of lost lines that leaves out the gaps before queued lines and the
// lines dropped last.
func TestLinesLostWithTheWriterAreCounted(t *testing.T) {
	is := is.New(t)
	opened, refused := make(chan struct{}), errors.New("refused")
	var lost uint64
	r := NewRecorder(func() (io.WriteCloser, error) { <-opened; return nil, refused }, 1, func(lines uint64, _ error) { lost += lines })
	for range 3 {
		r.Event(1, "x", freshness.Tick{}) // the first is queued
	}
	<-r.lines
	r.Event(1, "x", freshness.Tick{}) // queued behind a gap of two
	r.Event(1, "x", freshness.Tick{}) // dropped
	r.mu.Lock()
	r.closing = true
	close(r.closeRequested)
	r.mu.Unlock()
	close(opened)
	<-r.done
	is.Equal(lost, uint64(4))
}
