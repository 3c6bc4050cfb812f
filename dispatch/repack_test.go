package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// countRuns returns how many runs of a submission are on the workers.
func (l *loadSim) countRuns(submission string) int {
	n := 0
	for _, w := range l.workers {
		for run := range w.runs {
			if run.Task.Submission == submission {
				n++
			}
		}
	}
	return n
}

// fillEvenly fills five workers, so that each has 14 cores beside a run of large and one of small.
// At most maxUnavailable tasks of small may be unavailable at a time.
func (l *loadSim) fillEvenly(maxUnavailable int) {
	l.run(time.Second)
	l.submitLasting("filler", 1, 32000, 1)
	l.submitLasting("large", 5, 40000, 1)
	l.submitLasting("small", 5, 10000, maxUnavailable)
	l.run(2 * time.Second)
}

// Guards against a long-running task that waits although moving one run would make room for it, and
// against moves that make more tasks unavailable than their step allows, or that go on.
func TestRunIsMovedToMakeRoomForLongRunningTask(t *testing.T) {
	for name, test := range map[string]struct {
		tasks          int
		milliCPU       int64
		maxUnavailable int
		runs, moves    int
	}{
		"one":                      {tasks: 1, milliCPU: 24000, maxUnavailable: 1, runs: 1, moves: 1},
		"one after the other":      {tasks: 2, milliCPU: 24000, maxUnavailable: 1, runs: 2, moves: 2},
		"no limit":                 {tasks: 2, milliCPU: 24000, runs: 2, moves: 2},
		"no room even after moves": {tasks: 1, milliCPU: 25000, maxUnavailable: 1},
		"more than there is":       {tasks: 4, milliCPU: 24000, maxUnavailable: 1, runs: 2, moves: 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLoadSim(1, 5)
			l.fillEvenly(test.maxUnavailable)
			is.Equal(l.countRuns("small"), 5)
			l.submitLasting("missing", test.tasks, test.milliCPU, 1)
			fewest := 5
			for range 1500 {
				l.run(10 * time.Millisecond)
				fewest = min(fewest, l.countRuns("small"))
			}
			is.Equal(l.countRuns("missing"), test.runs)
			is.Equal(l.decisions[dispatch.RunDisplaced], test.moves)
			is.Equal(l.countRuns("small"), 5)
			is.Equal(l.countRuns("large"), 5)
			if test.maxUnavailable > 0 {
				is.True(fewest >= 5-test.maxUnavailable)
			}
		})
	}
}

// Guards against a run that is moved while as many tasks of its step as may be unavailable are not
// at work.
func TestRunIsNotMovedWhileOthersOfItsStepAreAway(t *testing.T) {
	for maxUnavailable, moves := range map[int]int{1: 0, 2: 1} {
		is := is.New(t)
		l := newLoadSim(1, 5)
		l.starting = map[workload.TaskID]bool{{Submission: "small", Index: 3}: true}
		l.fillEvenly(maxUnavailable)
		l.submitLasting("missing", 1, 24000, 1)
		l.run(8 * time.Second)
		is.Equal(l.decisions[dispatch.RunDisplaced], moves)
		is.Equal(l.countRuns("missing"), moves)
	}
}

// Guards against a moved task whose new place other tasks take while it is being stopped.
func TestPlaceOfMovedTaskIsKept(t *testing.T) {
	is := is.New(t)
	l := newLoadSim(1, 5)
	l.fillEvenly(1)
	l.submitLasting("missing", 1, 24000, 1)
	for l.decisions[dispatch.RunDisplaced] == 0 && l.now < 2*time.Minute {
		l.run(10 * time.Millisecond)
	}
	is.Equal(l.decisions[dispatch.RunDisplaced], 1)
	for i := range 30 {
		l.submit(&workload.Submission{
			ID: fmt.Sprintf("tiny-%d", i), Queue: "q", Steps: []workload.Step{lastingStep(1, 3000)},
			Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 3},
		})
	}
	l.run(2 * time.Second)
	is.Equal(l.countRuns("small"), 5)
	is.Equal(l.countRuns("missing"), 1)
	is.Equal(l.decisions[dispatch.RunDisplaced], 1)
}

// Guards against a long-running task that waits for finite runs of a lower priority to end, although
// one run can be moved if they are displaced, against more of them being displaced than are in the
// way, and against a move that displaces work of the same priority.
func TestRunIsMovedWhereFiniteRunsAreInTheWay(t *testing.T) {
	for name, test := range map[string]struct{ priority, moved, displaced, finite int }{
		"lower priority": {priority: 1, moved: 1, displaced: 3, finite: 3},
		"same priority":  {finite: 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLoadSim(1, 5)
			l.fillEvenly(1)
			step := finiteStep(5, 14000)
			step.Estimate = time.Minute
			l.submit(&workload.Submission{
				ID: "finite", Queue: "q", Steps: []workload.Step{step},
				Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 3, Priority: test.priority},
			})
			l.run(time.Second)
			is.Equal(l.countRuns("finite"), 5)
			l.submitLasting("missing", 1, 24000, 1)
			l.run(8 * time.Second)
			is.Equal(l.countRuns("missing"), test.moved)
			is.Equal(l.countRuns("small"), 5)
			is.Equal(l.decisions[dispatch.RunDisplaced], test.displaced)
			is.Equal(l.countRuns("finite"), test.finite)
		})
	}
}

// cancelNow cancels a submission.
func (l *loadSim) cancelNow(id string) {
	l.step(dispatch.EntryChanged{Entry: l.ledger.Apply(ledger.CancelledRecord(id))})
}

func (l *loadSim) cancel(id string) {
	l.cancelNow(id)
	l.run(500 * time.Millisecond)
}

// Guards against a task that is moved again and again.
func TestTaskIsMovedAtMostTwice(t *testing.T) {
	is := is.New(t)
	l := newLoadSim(1, 5)
	l.fillEvenly(1)
	for round := range 24 {
		missing := fmt.Sprintf("missing-%d", round)
		l.submitLasting(missing, 1, 24000, 1)
		l.run(6 * time.Second)
		l.cancel(missing)
		l.submitLasting(fmt.Sprintf("plug-%d", round), 1, 14000, 1)
		if round%4 == 3 {
			for plug := round - 3; plug <= round; plug++ {
				l.cancel(fmt.Sprintf("plug-%d", plug))
			}
		}
	}
	is.True(l.decisions[dispatch.RunDisplaced] > 5)
	for i := range 5 {
		task := workload.TaskID{Submission: "small", Index: i}
		is.True(l.ledger.Find("small").Task(task).Run <= 3)
	}
}

// Guards against an interrupted task that waits as long for a move as one that is new, and against
// moves for new tasks that find room by themselves within seconds.
func TestInterruptedTaskWaitsLessForAMove(t *testing.T) {
	is := is.New(t)
	l := newLoadSim(1, 6)
	l.run(time.Second)
	l.submitLasting("filler", 2, 32000, 1)
	for _, id := range []string{"middle", "other", "small"} {
		l.submitLasting(id, 6, map[string]int64{"middle": 24000, "other": 16000, "small": 10000}[id], 1)
	}
	l.run(2 * time.Second)
	l.submitLasting("new", 1, 24000, 1)
	l.run(2 * time.Second)
	is.Equal(l.decisions[dispatch.RunDisplaced], 0)
	l.cancel("new")
	l.lose(l.workers["w000"])
	l.run(dispatch.LeaseExpiryBound(simLease) + maxPlacementWait)
	is.Equal(l.countRuns("middle"), 6)
	is.True(l.decisions[dispatch.RunDisplaced] >= 1)
}
