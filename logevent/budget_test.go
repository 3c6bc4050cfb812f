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

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.out.Write(p)
}

// Guards against a process that waits for the reader of its log, and against a
// log that drops failures in favour of successes.
func TestStuckReaderCostsLinesNotTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &stuckWriter{release: make(chan struct{})}
		b := logevent.NewRateLimitedWriter(w, 100)
		events, err := logevent.NewRateLimited(b, "info")
		is.NoErr(err)
		began := time.Now()
		for range 100000 {
			events.Log(logevent.SubmissionAccepted)
		}
		for range 10 {
			events.Log(logevent.SubmissionRejected)
		}
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(b.Dropped(), int64(100000-50))
		close(w.release)
		b.Close()
		is.Equal(strings.Count(w.out.String(), "SubmissionRejected"), 10)
		is.Equal(strings.Count(w.out.String(), "SubmissionAccepted"), 50)
	})
}
