package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// failFinite lets two finite runs of two submissions fail on each of the workers, which closes them to
// finite runs.
func (l *loadSim) failFinite(is *is.I, workers int) {
	for _, id := range []string{"first", "second"} {
		l.submit(&workload.Submission{
			ID: id, Queue: "q", Steps: []workload.Step{finiteStep(workers, 30000)},
			Policy: workload.Policy{Service: "register", MaxAttempts: 1, SlackFactor: 1000},
		})
	}
	l.run(200 * time.Millisecond)
	for _, w := range l.sortedWorkers() {
		is.Equal(len(w.runs), 2)
		for _, run := range sortedRuns(w.runs) {
			l.end(w, run, workload.Errored)
		}
	}
	l.run(50 * time.Millisecond)
	is.Equal(l.reasons[dispatch.WorkerSuspected], "runs of several submissions failed in a row")
}

// Guards against room on suspected workers that stands empty because no worker is above suspicion.
func TestLongRunningTaskIsPlacedWhereAllWorkersAreSuspected(t *testing.T) {
	is := is.New(t)
	l := newLoadSim(1, 1)
	l.run(time.Second)
	l.failFinite(is, 1)
	l.submitLasting("missing", 1, 24000, 1)
	is.Equal(l.countRuns("missing"), 1)
}

// Guards against a worker that stays closed after a restart because of what the incarnation before did.
func TestSuspicionEndsWithTheIncarnation(t *testing.T) {
	for name, fail := range map[string]bool{"no failures": false, "failures": true} {
		t.Run(name, func(t *testing.T) { startAfterRestart(t, fail) })
	}
}

func startAfterRestart(t *testing.T, fail bool) {
	is := is.New(t)
	l := newLoadSim(1, 1)
	l.run(time.Second)
	if fail {
		l.failFinite(is, 1)
	}
	for _, w := range l.sortedWorkers() {
		l.change(w, func(info *workload.Worker) { info.StartMillis++ })
	}
	l.run(time.Second)
	l.submit(&workload.Submission{
		ID: "finite", Queue: "q", Steps: []workload.Step{finiteStep(1, 12000)},
		Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 1000},
	})
	l.run(500 * time.Millisecond)
	is.Equal(l.countRuns("finite"), 1)
}

// Guards against a faulty worker on which all tasks of a step are started at once as a probe.
func TestStartsOfAStepWithSeveralTasksOnAFaultyWorker(t *testing.T) {
	is := is.New(t)
	l, suspected := suspectedWorker(is)
	starts := l.starts
	l.starting = make(map[workload.TaskID]bool)
	for i := range 24 {
		l.starting[workload.TaskID{Submission: "missing", Index: i}] = true
	}
	l.submitLasting("missing", 24, 1000, 24)
	for range 300 {
		for _, run := range sortedRuns(suspected.runs) {
			if run.Task.Submission == "missing" {
				l.end(suspected, run, workload.Errored)
			}
		}
		l.run(10 * time.Millisecond)
	}
	t.Logf("%d starts", l.starts-starts)
	is.True(l.starts-starts <= 1)
}

// Guards against a single failed run that closes a worker to long-running tasks because of failures there
// of long before: a worker with long-running runs alone has no success that clears them.
func TestFailuresOfLongAgoDoNotCloseAWorker(t *testing.T) {
	is := is.New(t)
	l, suspected := suspectedWorker(is)
	l.run(time.Minute)
	l.submit(&workload.Submission{
		ID: "third", Queue: "q", Steps: []workload.Step{finiteStep(1, 12000)},
		Policy: workload.Policy{Service: "register", MaxAttempts: 1, SlackFactor: 1000},
	})
	l.run(200 * time.Millisecond)
	is.Equal(suspected.runsOf("third"), 1)
	for _, run := range sortedRuns(suspected.runs) {
		if run.Task.Submission == "third" {
			l.end(suspected, run, workload.Errored)
		}
	}
	l.run(50 * time.Millisecond)
	l.submitLasting("missing", 1, 24000, 1)
	is.Equal(suspected.runsOf("missing"), 1)
}
