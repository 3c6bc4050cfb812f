package dispatch_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/workload"
)

// maxRestartDelay is the time within which a long-running task must run again while
// the workers have the capacity for it, as stated by the platform's users.
const maxRestartDelay = 6 * time.Second

// Guards against long-running tasks that are overtaken by urgent batches each time that
// capacity becomes free, and so never run again after a failure. Both have the same
// priority. Long-running tasks reserve five sixths of the CPU and fail at times; the
// batches arrive at twice the rate that the rest can serve.
func TestFailedLongRunningTasksRunAgainUnderOverload(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runLongRunningOverload(t, seed)
		})
	}
}

// Guards against long-running tasks that have no run for longer than the users allow,
// under the load of TestFailedLongRunningTasksRunAgainUnderOverload.
func TestLongRunningTasksRunAgainInTimeUnderOverload(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			overloadLongRunning(t, seed)
		})
	}
}

func runLongRunningOverload(t *testing.T, seed uint64) {
	is := is.New(t)
	l := overloadLongRunning(t, seed)
	// The batches are not starved in turn: all of them complete.
	l.run(90 * time.Second)
	is.True(len(l.lateness["timing-check"]) > 300)
	for id := range l.submittedAt {
		is.Equal(l.ledger.Find(id).Queue, "office-sync")
	}
}

// overloadLongRunning plays the load and fails the test if a long-running task has no
// run for maxRestartDelay.
func overloadLongRunning(t *testing.T, seed uint64) *loadSim {
	is := is.New(t)
	l := newLoadSim(seed, 60)
	l.run(2 * time.Second)
	for requested := int64(0); requested < l.totalCPU()*5/6; {
		s := l.officeSync()
		requested += int64(s.Steps[0].Tasks) * s.Steps[0].Request.MilliCPU
		l.submit(s)
	}
	l.run(5 * time.Second)
	is.Equal(len(l.waitingSince()), 0)
	until := l.now + 40*time.Second
	l.scheduleArrivals(16, until, l.timingCheck)
	l.scheduleFailures(4, until)
	longest := time.Duration(0)
	for l.now < until {
		l.run(100 * time.Millisecond)
		for _, since := range l.waitingSince() {
			longest = max(longest, l.now-since)
		}
	}
	if longest >= maxRestartDelay {
		t.Fatalf("a long-running task had no run for %v", longest)
	}
	return l
}

// timingCheck returns an urgent batch whose tasks each fit beside the long-running
// tasks of a worker.
func (l *loadSim) timingCheck() *workload.Submission {
	return l.batch("timing-check", 1+l.random.IntN(2), int(l.drawSkewed(9.5, 0.8, 57)), l.drawSkewed(7500, 0.45, 10000), l.drawSkewed(800, 0.5, 2000), 0)
}

// totalCPU returns the CPU capacity of all workers, in thousandths of a core.
func (l *loadSim) totalCPU() int64 {
	sum := int64(0)
	for _, w := range l.workers {
		sum += w.info.Capacity.MilliCPU
	}
	return sum
}

// scheduleFailures ends a random long-running run as failed, perSecond times a second
// on average.
func (l *loadSim) scheduleFailures(perSecond float64, until time.Duration) {
	pause := time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second))
	if l.now+pause > until {
		return
	}
	l.after(pause, func() {
		l.failLongRunning()
		l.scheduleFailures(perSecond, until)
	})
}

// sortedWorkers returns the workers in ascending order of id.
func (l *loadSim) sortedWorkers() []*loadWorker {
	return slices.SortedFunc(maps.Values(l.workers), func(a, b *loadWorker) int { return cmpString(a.info.ID(), b.info.ID()) })
}

func (l *loadSim) failLongRunning() {
	workers := l.sortedWorkers()
	w := workers[l.random.IntN(len(workers))]
	for _, run := range sortedRuns(w.runs) {
		if w.runs[run].step.LongRunning {
			l.end(w, run, workload.Errored)
			return
		}
	}
}

// waitingSince returns, for each long-running task without a run on a worker, when
// its last run ended or it was first seen without one.
func (l *loadSim) waitingSince() map[workload.TaskID]time.Duration {
	runs := make(map[workload.TaskID]bool)
	for _, w := range l.workers {
		for run := range w.runs {
			runs[run.Task] = true
		}
	}
	waiting := make(map[workload.TaskID]time.Duration)
	for _, e := range l.ledger.Live() {
		for index, step := range e.Steps {
			if !step.LongRunning {
				continue
			}
			for _, task := range e.Occurrence(0).Steps[index].Tasks {
				if runs[task.ID] {
					continue
				}
				since, known := l.waits[task.ID]
				if !known {
					since = l.now
				}
				waiting[task.ID] = since
			}
		}
	}
	l.waits = waiting
	return waiting
}

// Guards against a long-running gang that is not started again, and whose submission counts
// as completed, after its members have ended as done.
func TestLongRunningGangThatEndsAsDoneRunsAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	gang := lastingStep(2, 10000)
	gang.Gang = true
	h.submit("gang", gang)
	is.Equal(h.count(startOf("gang")), 2)
	var ends []workload.EndedRun
	for i := range 2 {
		run := workload.RunID{Task: workload.TaskID{Submission: "gang", Index: i}, Run: 1}
		delete(h.active, run)
		ends = append(ends, workload.EndedRun{RunID: run, Sequence: int64(i + 1), Outcome: workload.Succeeded})
	}
	// The second end is listed one report later.
	h.report(ends[0])
	h.advance(20 * time.Millisecond)
	h.report(ends...)
	h.advance(20 * time.Millisecond)
	is.Equal(h.ledger.Find("gang").State(), workload.Running)
	is.Equal(h.count(startOf("gang")), 4)
}
