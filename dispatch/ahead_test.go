package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// maxEmptyRoom is how long room on a worker may stand empty between a run that was stopped and the
// next one for which it is awaited: the report of the end and the start take one network delay each.
const maxEmptyRoom = 2*loadNetworkDelay + time.Millisecond

// emptyUntilStart runs the simulation until a task of a submission runs, and returns for how long there
// has been room for it on its worker.
func (l *loadSim) emptyUntilStart(is *is.I, id string, free int64) time.Duration {
	since := make(map[*loadWorker]time.Duration)
	for range 3000 {
		for _, w := range l.sortedWorkers() {
			for run := range w.runs {
				if run.Task.Submission == id {
					return l.now - since[w]
				}
			}
			if w.used().MilliCPU+free > w.info.Capacity.MilliCPU {
				since[w] = l.now
			}
		}
		l.run(time.Millisecond)
	}
	is.Fail()
	return 0
}

// Guards against room that stands empty, after a run there has been stopped, for as long as heartbeats,
// a planning round and a record take.
func TestRoomOfAStoppedRunIsFilledAtOnce(t *testing.T) {
	for name, clear := range map[string]func(l *loadSim){
		"cancelled": func(l *loadSim) { l.cancelNow("small") },
		"displaced": func(l *loadSim) { l.submitLasting("urgent", 1, 30000, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, waiting, free := awaitRoom(), "missing", int64(24000)
			if name == "displaced" {
				l = newLoadSim(1, 1)
				l.run(time.Second)
				l.submit(l.batch("finite", 1, 2, 32000, 60000, 0))
				l.run(2 * time.Second)
				waiting, free = "urgent", 30000
			}
			clear(l)
			is.True(l.emptyUntilStart(is, waiting, free) <= maxEmptyRoom)
			is.Equal(l.rejected, 0)
		})
	}
}

// Guards against room that a less urgent task gets ahead of one that would get it once it is free.
func TestClearedRoomGoesToTheMostUrgentTask(t *testing.T) {
	for name, urgent := range map[string]workload.Step{"long-running": lastingStep(1, 24000), "finite": finiteStep(1, 24000)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLoadSim(1, 1)
			l.run(time.Second)
			l.submitLasting("large", 1, 40000, 1)
			l.submitLasting("small", 1, 10000, 1)
			policy := workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 1000, Priority: 2}
			l.submit(&workload.Submission{ID: "other", Queue: "q", Steps: []workload.Step{lastingStep(1, 24000)}, Policy: policy})
			l.run(100 * time.Millisecond)
			policy.Priority = 1
			l.submit(&workload.Submission{ID: "urgent", Queue: "q", Steps: []workload.Step{urgent}, Policy: policy})
			l.run(100 * time.Millisecond)
			l.cancelNow("small")
			l.run(300 * time.Millisecond)
			is.Equal(l.countRuns("urgent"), 1)
			is.Equal(l.countRuns("other"), 0)
		})
	}
}

// Guards against a task that waits on for room which is not cleared, or whose worker can't be used any
// more, and against a start for want of which another task is rejected.
func TestRunIsWithdrawnIfItsRoomIsNotCleared(t *testing.T) {
	for name, change := range map[string]func(l *loadSim, w *loadWorker){
		"stop without an answer": func(*loadSim, *loadWorker) {},
		"worker drains":          func(l *loadSim, w *loadWorker) { l.change(w, func(info *workload.Worker) { info.Draining = true }) },
		"worker is lost":         func(l *loadSim, w *loadWorker) { l.lose(w) },
		"data centre is evacuated": func(l *loadSim, w *loadWorker) {
			l.change(w, func(info *workload.Worker) { info.DataCentre = "maadi" })
			l.step(dispatch.Evacuated{DataCentres: map[string]bool{"maadi": true}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := awaitRoom()
			l.lostStops = true
			l.cancelNow("small")
			l.run(60 * time.Millisecond)
			var first *loadWorker
			for _, w := range l.sortedWorkers() {
				if w.info.ID() == l.lastPlaced {
					first = w
				}
			}
			is.True(first != nil)
			change(l, first)
			l.lostStops = false
			l.run(time.Second)
			is.True(l.reasons[dispatch.RunRefused] != "")
			l.run(time.Second)
			is.Equal(l.countRuns("missing"), 1)
			is.Equal(l.rejected, 0)
		})
	}
}

// change changes the entry of a worker in the list.
func (l *loadSim) change(w *loadWorker, change func(info *workload.Worker)) {
	change(&w.info)
	var list []workload.Worker
	for _, w := range l.sortedWorkers() {
		list = append(list, w.info)
	}
	l.step(dispatch.WorkersListed{Workers: list})
}

// Guards against a start for a submission that was cancelled while its run waited for room.
func TestRecordedRunOfACancelledSubmissionIsNotStarted(t *testing.T) {
	is := is.New(t)
	l := awaitRoom()
	l.cancelNow("small")
	l.run(60 * time.Millisecond)
	starts := l.starts
	l.cancelNow("missing")
	l.run(time.Second)
	is.Equal(l.starts, starts)
}
