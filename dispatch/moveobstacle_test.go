package dispatch

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// moveObstacles returns what the report on room says about moves.
func (f *moveFixture) moveObstacles() map[string]int {
	f.longRunningWaits = nil
	for _, ws := range f.waitingSteps() {
		if wait := f.longWaits[ws.state]; wait != nil {
			wait.waiting = *ws
			f.longRunningWaits = append(f.longRunningWaits, wait)
		}
	}
	return f.findRoom().obstacles.counts()
}

// Guards against a move that is known and not made, of which neither logs nor metrics say why.
func TestObstacleToAMoveIsReported(t *testing.T) {
	waits := workload.TaskID{Submission: "waits"}
	since := func(f *moveFixture, at time.Duration) {
		for _, wait := range f.longWaits {
			wait.since[waits] = at
		}
	}
	finite := func(f *moveFixture, priority int, milliCPU int64, on ...string) {
		step := workload.Step{Tasks: len(on), Request: hostapi.Resources{MilliCPU: milliCPU}}
		f.work(f.submit("finite", priority, step), on...)
	}
	lasting := func(tasks int, milliCPU int64) workload.Step {
		return workload.Step{Tasks: tasks, LongRunning: true, Request: hostapi.Resources{MilliCPU: milliCPU}}
	}
	for want, change := range map[string]func(f *moveFixture){
		"in turn": func(*moveFixture) {},
		"delay of a new task": func(f *moveFixture) {
			since(f, f.now-newTaskDelay)
			f.wall = f.ledger.Find("waits").DueAt(0)
		},
		"delay of an interrupted task": func(f *moveFixture) {
			f.ledger.Find("waits").Task(waits).Run = 1
			since(f, f.now)
		},
		"old list of workers": func(f *moveFixture) {
			f.config.MaxViewAge[WorkerList], f.views.known[WorkerList] = 2*time.Second, true
			f.views.readAt[WorkerList] = f.now - time.Second - 1
		},
		"unanswered append": func(f *moveFixture) { f.pending[1] = appendInFlight{at: f.now - moveAppendTimeout - 1} },
		"enough moves": func(f *moveFixture) {
			f.claimForMoved(f.active[workload.TaskID{Submission: "other"}], f.workers["d"])
		},
		"displacement fits":      func(f *moveFixture) { finite(f, 2, 24000, "d") },
		"finite runs in the way": func(f *moveFixture) { finite(f, 0, 14000, "a", "b") },
		"search that failed":     func(f *moveFixture) { f.nextMoveAt, f.moveSearchFailed = f.now+1, true },
		"claims room": func(f *moveFixture) {
			f.claim(f.waitingSteps()[0], f.ledger.Find("waits").Task(waits), f.workers["c"], hostapi.Resources{MilliCPU: 1})
		},
		"suspected of a crash": func(f *moveFixture) {
			f.ledger.Find("waits").Task(waits).Run = 1
			f.ledger.Apply(ledger.CrashedRecord(workload.Incarnation{Worker: "gone"}, []workload.RunID{{Task: waits, Run: 1}}, 1))
		},
	} {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			f := newMoveFixture("a", "b", "c", "d")
			f.work(f.submit("large", 1, lasting(2, 40000)), "a", "b")
			f.work(f.submit("small", 1, lasting(2, 10000)), "a", "b")
			f.work(f.submit("other", 1, lasting(1, 64000)), "c")
			f.work(f.submit("rest", 1, lasting(1, 40000)), "d")
			f.wait("waits", 1, 24000)
			if want != "displacement fits" {
				f.work(f.submit("filler", 1, lasting(1, 24000)), "d")
			}
			change(f)
			is.True(maps.Equal(f.moveObstacles(), map[string]int{want: 1}))
		})
	}
}
