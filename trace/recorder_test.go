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

// blockedWriter takes nothing until it is opened.
type blockedWriter struct {
	bytes.Buffer
	open chan struct{}
	// taken receives a value when the first line has arrived.
	taken chan struct{}
	once  sync.Once
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.taken) })
	<-w.open
	return w.Buffer.Write(p)
}

func (w *blockedWriter) Close() error { return nil }

// Guards against a recorder that delays the node behind a slow reader, and
// against a gap that the trace hides.
func TestRecorderNeverBlocksAndCountsGaps(t *testing.T) {
	is := is.New(t)
	w := &blockedWriter{open: make(chan struct{}), taken: make(chan struct{})}
	var reported uint64
	r := NewRecorder(func() (io.WriteCloser, error) { return w, nil }, 2, func(lines uint64, err error) {
		reported += lines
		is.NoErr(err)
	})
	r.Header("fresh", Freshness, freshness.DefaultConfig())
	<-w.taken
	for i := range 7 {
		r.Event(time.Duration(i), "fresh", freshness.Tick{})
	}
	close(w.open)
	is.NoErr(r.Close(context.Background()))
	lines := strings.Split(strings.TrimSpace(w.String()), "\n")
	is.Equal(len(lines), 4) // the header, two events that fitted, the gap
	is.Equal(lines[3], `{"dropped":5}`)
	is.Equal(reported, uint64(5))
	r.Event(9, "fresh", freshness.Tick{}) // after Close: no panic, nothing written
	is.Equal(len(strings.Split(strings.TrimSpace(w.String()), "\n")), 4)
}

// Guards against a gap that is noted in the wrong place.
func TestGapStandsWhereLinesAreMissing(t *testing.T) {
	is := is.New(t)
	w := &blockedWriter{open: make(chan struct{}), taken: make(chan struct{})}
	r := NewRecorder(func() (io.WriteCloser, error) { return w, nil }, 1, func(uint64, error) {})
	r.Header("fresh", Freshness, nil)
	<-w.taken
	r.Event(1, "fresh", freshness.Tick{})
	r.Event(2, "fresh", freshness.Tick{})
	<-r.lines // as if the reader had taken the first event
	r.Event(3, "fresh", freshness.Tick{})
	close(w.open)
	is.NoErr(r.Close(context.Background()))
	is.True(strings.HasSuffix(w.String(), "\n{\"dropped\":1}\n{\"time\":3,\"source\":\"fresh\",\"event\":\"Tick\"}\n"))
}

// Guards against a stream that can't be opened and goes unnoticed, and against
// a Close that waits for ever.
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

	never := make(chan struct{})
	defer close(never)
	stuck := NewRecorder(func() (io.WriteCloser, error) { <-never; return nil, refused }, 2, func(uint64, error) {})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errors.Is(stuck.Close(ctx), context.Canceled))
}

// Guards against a nil recorder that fails where recording is off.
func TestNilRecorder(t *testing.T) {
	is := is.New(t)
	var r *Recorder
	r.Header("x", Freshness, nil)
	r.Event(1, "x", freshness.Tick{})
	is.NoErr(r.Close(context.Background()))
}
