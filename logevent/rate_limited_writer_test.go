package logevent_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/logevent"
)

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.out.Write(p)
}

// Guards against a process that blocks when nothing reads its log, and against a
// flood of info lines that causes warnings to be dropped.
func TestBlockedWriterDropsLinesWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &blockedWriter{release: make(chan struct{})}
		limited := logevent.NewRateLimitedWriter(w, 100)
		events, err := logevent.NewRateLimited(limited, "info")
		is.NoErr(err)
		start := time.Now()
		for range 100000 {
			events.Log(logevent.SubmissionAccepted)
		}
		for range 10 {
			events.Log(logevent.SubmissionRejected)
		}
		is.Equal(time.Since(start), time.Duration(0))
		is.Equal(limited.Dropped(), int64(100000-50))
		close(w.release)
		limited.Close()
		is.Equal(strings.Count(w.out.String(), "SubmissionRejected"), 10)
		is.Equal(strings.Count(w.out.String(), "SubmissionAccepted"), 50)
	})
}

// Guards against a flood of warnings that causes the summaries of an owner to be dropped.
func TestSummariesAreNotDroppedInAFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &blockedWriter{release: make(chan struct{})}
		limited := logevent.NewRateLimitedWriter(w, 100)
		events, err := logevent.NewRateLimited(limited, "info")
		is.NoErr(err)
		for range 1000 {
			events.Log(logevent.SubmissionRejected)
		}
		events.Log(logevent.ServingReported)
		close(w.release)
		limited.Close()
		is.Equal(strings.Count(w.out.String(), "SubmissionRejected"), 100)
		is.Equal(strings.Count(w.out.String(), "ServingReported"), 1)
		is.True(!strings.Contains(w.out.String(), "logger"))
	})
}
