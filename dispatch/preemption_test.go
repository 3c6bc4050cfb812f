package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
)

// maxPlacementWait is the time within which a long-running task must run again, counted from
// when its last run has certainly ended.
const maxPlacementWait = 2 * time.Second

// lose ends a worker without a word: it answers nothing, and its runs are gone.
func (l *loadSim) lose(w *loadWorker) {
	w.gone, w.runs = true, nil
	if w.waiting != nil {
		w.waiting = nil
		l.step(dispatch.HeartbeatFailed{Worker: w.info.ID(), Answer: dispatch.NoAnswer})
	}
}

// loseLongRunning loses workers until at least n long-running runs are lost, and returns how many
// are.
func (l *loadSim) loseLongRunning(n int) int {
	lost := 0
	for _, w := range l.sortedWorkers() {
		running := 0
		for _, r := range w.runs {
			if r.step.LongRunning {
				running++
			}
		}
		if lost < n && running > 0 {
			lost += running
			l.lose(w)
		}
	}
	return lost
}

// Guards against long-running tasks of lost workers that wait until finite runs on the other
// workers, all of them full, end by themselves.
func TestLongRunningTasksRunAgainBesideFullWorkers(t *testing.T) {
	is := is.New(t)
	l := newLoadSim(1, 24)
	l.run(2 * time.Second)
	for range 3 {
		l.submit(l.officeSync())
	}
	l.run(time.Second)
	for range 4 {
		l.submit(l.batch("long", 1, 60, 12000, 60000, 0))
	}
	l.run(2 * time.Second)
	is.True(l.loseLongRunning(6) >= 6)
	l.run(dispatch.LeaseExpiryBound(simLease) + maxPlacementWait)
	is.Equal(len(l.waitingSince()), 0)
}
