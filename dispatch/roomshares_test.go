package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
)

// inShortage returns a simulation of six workers with 448 cores, full of long-running tasks of 32
// cores, of which others wait for a number of times that. The finite share is 18.7 cores.
func inShortage(waiting int) *loadSim {
	l := newLoadSim(1, 6)
	l.run(time.Second)
	l.submitLasting("first", 1, 32000, 1)
	l.submitLasting("second", 1, 32000, 1)
	l.submitLasting("rest", 12, 32000, 1)
	l.run(time.Second)
	l.submitLasting("waiting", waiting, 32000, 1)
	l.run(2 * time.Second)
	return l
}

func (l *loadSim) submitUrgent(tasks int) {
	l.submit(l.batch("urgent", 1, tasks, 10000, 6000, 0))
	l.run(100 * time.Millisecond)
}

func (l *loadSim) countUrgent() int {
	n := 0
	for _, w := range l.workers {
		for _, r := range w.runs {
			if !r.step.LongRunning {
				n++
			}
		}
	}
	return n
}

// Guards against finite work that gets no room while long-running tasks of its priority wait for it,
// also after a takeover, and against long-running tasks that wait beyond the share of finite work.
func TestRoomIsDividedInAShortage(t *testing.T) {
	for name, takeover := range map[string]bool{"one owner": false, "after a takeover": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := inShortage(6)
			if takeover {
				l.machine = dispatch.New(dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2, StopTime: 200 * time.Millisecond}, l.ledger, l.now, l.wall())
				l.step(dispatch.WorkersListed{Workers: l.listed()})
				l.run(2 * time.Second)
			}
			l.submitUrgent(6)
			l.cancel("first")
			is.Equal(l.countUrgent(), 2)
			is.Equal(l.countRuns("waiting"), 0)
			l.cancel("second")
			is.Equal(l.countUrgent(), 2)
			is.Equal(l.countRuns("waiting"), 1)
		})
	}
}

// Guards against finite work below its share that is stopped for a long-running task of its priority,
// which would keep the room.
func TestLongRunningTaskLeavesFiniteWorkItsShare(t *testing.T) {
	is := is.New(t)
	l := inShortage(6)
	l.submitUrgent(1)
	l.cancel("first")
	l.run(2 * time.Second)
	is.Equal(l.countUrgent(), 1)
	is.Equal(l.countRuns("waiting"), 0)
}

// Guards against finite work that takes the room of long-running tasks that may all get it soon.
func TestRoomIsNotDividedWithoutAShortage(t *testing.T) {
	is := is.New(t)
	l := inShortage(1)
	l.submitUrgent(6)
	l.cancel("first")
	is.Equal(l.countRuns("waiting"), 1)
	is.Equal(l.countUrgent(), 0)
}

// Guards against a division that begins and ends with each long-running task that is placed.
func TestShortageLastsUntilItIsHalved(t *testing.T) {
	for name, waiting := range map[string]int{"since more waited": 6, "never more": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := inShortage(2)
			if waiting > 2 {
				l.submitLasting("others", waiting-2, 32000, 1)
				l.run(time.Second)
				l.cancel("others")
			}
			l.submitUrgent(1)
			l.cancel("first")
			is.Equal(l.countUrgent() == 1, waiting > 2)
			is.Equal(l.countRuns("waiting") == 1, waiting == 2)
		})
	}
}

// Guards against finite work that takes room from long-running tasks that have waited for
// no longer than a planning round.
func TestLongRunningTasksThatHaveRoomGetIt(t *testing.T) {
	is := is.New(t)
	l := newLoadSim(1, 6)
	l.run(time.Second)
	l.machine.DelayPlanning(l.now + 600*time.Millisecond)
	l.submitLasting("lasting", 14, 32000, 1)
	l.submitUrgent(6)
	l.run(time.Second)
	is.Equal(l.countRuns("lasting"), 14)
}
