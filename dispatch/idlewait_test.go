package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
)

// Guards against a worker without runs that stays unusable for seconds after it can be reached again,
// because the heartbeat that shows it waits for an end.
func TestSilentIdleWorkerIsHeardAtOnce(t *testing.T) {
	is := is.New(t)
	l := newLoadSim(1, 1)
	l.run(time.Second)
	l.submit(l.batch("first", 1, 1, 1000, 100, 0))
	for l.decisions[dispatch.RunEnded] == 0 {
		l.run(time.Millisecond)
	}
	w := l.sortedWorkers()[0]
	w.gone = true
	l.run(time.Second)
	is.Equal(l.decisions[dispatch.WorkerSuspected], 1)
	is.Equal(l.decisions[dispatch.WorkerTrusted], 0)
	w.gone = false
	l.run(time.Second)
	is.Equal(l.decisions[dispatch.WorkerTrusted], 1)
}

// Guards against a first report on a run that is late because the heartbeat which acknowledged the
// last end on its worker, where nothing ran, waits for another end.
func TestAcknowledgementToAnIdleWorkerIsNotHeldUp(t *testing.T) {
	is := is.New(t)
	l := newLoadSim(1, 1)
	l.run(time.Second)
	l.submit(l.batch("first", 1, 1, 1000, 100, 0))
	l.run(time.Second)
	is.Equal(l.decisions[dispatch.RunEnded], 1)
	is.True(l.sortedWorkers()[0].waiting == nil)
}
