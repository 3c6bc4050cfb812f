package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// suspectedWorker returns a simulation of two full workers. On the one that is returned, the only finite
// runs, of two submissions, have just failed, and have left 24 cores there.
func suspectedWorker(is *is.I) (*loadSim, *loadWorker) {
	l := newLoadSim(1, 2)
	l.run(time.Second)
	l.submitLasting("large", 2, 40000, 1)
	for _, id := range []string{"first", "second"} {
		l.submit(&workload.Submission{
			ID: id, Queue: "q", Steps: []workload.Step{finiteStep(1, 12000)},
			Policy: workload.Policy{Service: "register", MaxAttempts: 1, SlackFactor: 1000},
		})
	}
	l.submitLasting("small", 1, 24000, 1)
	var suspected *loadWorker
	for _, w := range l.sortedWorkers() {
		for run := range w.runs {
			if run.Task.Submission == "first" {
				suspected = w
			}
		}
	}
	is.True(suspected != nil)
	for _, run := range sortedRuns(suspected.runs) {
		if id := run.Task.Submission; id == "first" || id == "second" {
			l.end(suspected, run, workload.Errored)
		}
	}
	l.run(50 * time.Millisecond)
	is.Equal(suspected.used().MilliCPU, int64(40000))
	is.Equal(l.reasons[dispatch.WorkerSuspected], "runs of several submissions failed in a row")
	return l, suspected
}

// runsOf returns how many runs of a submission are on a worker.
func (w *loadWorker) runsOf(submission string) int {
	n := 0
	for run := range w.runs {
		if run.Task.Submission == submission {
			n++
		}
	}
	return n
}

// Guards against room that stands empty for seconds while long-running tasks wait for it, because two
// finite runs there failed in a row by chance.
func TestLongRunningTaskIsPlacedOnASuspectedWorker(t *testing.T) {
	is := is.New(t)
	l, suspected := suspectedWorker(is)
	l.submitLasting("missing", 1, 24000, 1)
	is.Equal(suspected.runsOf("missing"), 1)
}

// Guards against finite tasks that are placed on a suspected worker, and long-running ones that are
// placed there although another worker has room.
func TestSuspectedWorkerIsTheLastChoice(t *testing.T) {
	is := is.New(t)
	l, suspected := suspectedWorker(is)
	l.submit(&workload.Submission{
		ID: "finite", Queue: "q", Steps: []workload.Step{finiteStep(1, 12000)}, Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 1000},
	})
	l.run(3 * time.Second)
	is.Equal(l.countRuns("finite"), 0)
	l.cancel("small")
	is.Equal(l.countRuns("finite"), 1)
	l.submitLasting("missing", 1, 12000, 1)
	is.Equal(l.countRuns("missing"), 1)
	is.Equal(suspected.runsOf("missing"), 0)
	is.Equal(suspected.runsOf("finite"), 0)
}

// Guards against a faulty worker on which long-running tasks are started again and again.
func TestWorkerOnWhichAnotherRunFailsIsClosed(t *testing.T) {
	is := is.New(t)
	l, suspected := suspectedWorker(is)
	starts := l.starts
	l.starting = map[workload.TaskID]bool{{Submission: "missing"}: true}
	l.submitLasting("missing", 1, 24000, 1)
	for range 300 {
		for _, run := range sortedRuns(suspected.runs) {
			if run.Task.Submission == "missing" {
				l.end(suspected, run, workload.Errored)
			}
		}
		l.run(10 * time.Millisecond)
	}
	is.Equal(l.starts-starts, 1)
}
