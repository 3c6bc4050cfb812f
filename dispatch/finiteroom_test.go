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

// finiteRunTime is the time for which the finite tasks of these tests run on average.
const finiteRunTime = 600 * time.Millisecond

// arriveSteadily lets finite submissions arrive that have one task each.
func (l *loadSim) arriveSteadily(every, d time.Duration, milliCPU float64, priority int) {
	for at := every; at <= d; at += every {
		l.after(at, func() { l.submitFinite(1, milliCPU, priority) })
	}
}

// submitFinite submits a finite submission, which reserves CPU also with a priority above 0, and returns
// its id.
func (l *loadSim) submitFinite(tasks int, milliCPU float64, priority int) string {
	s := l.batch("finite", 1, tasks, milliCPU, float64(finiteRunTime.Milliseconds()), priority)
	s.Steps[0].BestEffort = false
	l.submit(s)
	return s.ID
}

// newFilledSim returns a simulation of twelve workers with 896 cores, of which an eighth are 112. Finite
// tasks of 16 cores arrive, if every is not 0, and more long-running tasks of 4 cores than fit.
func newFilledSim(every time.Duration, priority int) *loadSim {
	l := newLoadSim(1, 12)
	l.run(time.Second)
	if every > 0 {
		l.arriveSteadily(every, 30*time.Second, 16000, priority)
	}
	l.run(5 * time.Second)
	l.submitLasting("filler", 300, 4000, 1)
	l.run(5 * time.Second)
	return l
}

func lateSubmission(steps ...workload.Step) *workload.Submission {
	return &workload.Submission{ID: "late", Queue: "q", Steps: steps, Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 3}}
}

// keptCPU returns the CPU that long-running runs leave, in cores.
func (l *loadSim) keptCPU() float64 { return (float64(l.totalCPU()) - l.longRunningCPU()) / 1000 }

// Guards against long-running tasks that fill the room of finite work, and against room that stands
// empty: more than an eighth, without finite work, or for work that is less urgent.
func TestRoomIsKeptForFiniteWork(t *testing.T) {
	for name, test := range map[string]struct {
		every       time.Duration
		priority    int
		least, most float64
	}{
		"usual":       {every: 200 * time.Millisecond, least: 80, most: 128},
		"three times": {every: 67 * time.Millisecond, least: 112, most: 128},
		"none":        {},
		"less urgent": {every: 200 * time.Millisecond, priority: 1, most: 16},
	} {
		t.Run(name, func(t *testing.T) {
			l := newFilledSim(test.every, test.priority)
			if kept := l.keptCPU(); kept < test.least || kept > test.most {
				t.Errorf("long-running tasks leave %.0f cores, want %.0f to %.0f", kept, test.least, test.most)
			}
		})
	}
}

// countInterrupted returns the number of long-running tasks that have had a run and have none.
func (l *loadSim) countInterrupted() int {
	n := 0
	for id := range l.waitingSince() {
		if l.ledger.Find(id.Submission).Occurrence(0).Steps[id.Step].Tasks[id.Index].Run > 0 {
			n++
		}
	}
	return n
}

// Guards against long-running tasks that are lost because room is kept.
func TestInterruptedTasksTakeKeptRoom(t *testing.T) {
	is := is.New(t)
	l := newFilledSim(200*time.Millisecond, 0)
	is.True(l.loseLongRunning(1) >= 10)
	is.True(l.countInterrupted() >= 10)
	l.run(dispatch.LeaseExpiryBound(simLease) + maxPlacementWait)
	is.Equal(l.countInterrupted(), 0)
}

// Guards against an interrupted task that waits because a new one of its step, which may not take the room,
// comes before it.
func TestInterruptedTaskComesBeforeNewOnes(t *testing.T) {
	is := is.New(t)
	l := newFilledSim(200*time.Millisecond, 0)
	run := workload.RunID{Task: workload.TaskID{Submission: "late", Index: 1}, Run: 1}
	late := lateSubmission(lastingStep(2, 16000))
	late.AcceptedAt = l.wall()
	e := l.ledger.Apply(ledger.SubmittedRecord(late))
	l.ledger.Apply(ledger.PlacedRecord(run, l.sortedWorkers()[0].info.Incarnation, ""))
	l.ledger.Apply(ledger.EndedRecord(run, workload.Errored, ""))
	l.step(dispatch.EntryChanged{Entry: e})
	l.run(3 * time.Second)
	is.Equal(l.countRuns("late"), 1)
	is.Equal(e.Occurrence(0).Steps[0].Tasks[0].Run, int64(0))
}

// Guards against an interrupted task that takes room of finite work although there is other room.
func TestInterruptedTaskPrefersOtherRoom(t *testing.T) {
	is := is.New(t)
	l := newLoadSim(1, 3)
	l.run(time.Second)
	// The last worker has 96 cores, the first one keeps 24 and the second one 28.
	for i, milliCPU := range []int64{20000, 65000, 40000, 36000} {
		l.submitLasting(fmt.Sprintf("lasting-%d", i), 1, milliCPU, 1)
	}
	l.arriveSteadily(700*time.Millisecond, 9*time.Second, 26000, 0)
	l.run(12 * time.Second)
	is.Equal(l.countUrgent(), 0)
	l.lose(l.sortedWorkers()[2])
	l.run(dispatch.LeaseExpiryBound(simLease) + maxPlacementWait)
	is.Equal(l.countRuns("lasting-0"), 1)
	is.Equal(len(l.sortedWorkers()[0].runs), 2)
}

// Guards against a long-running submission that serves nobody because room is kept, and against one that
// takes more of it than its first task needs.
func TestSubmissionGetsItsFirstTaskInKeptRoom(t *testing.T) {
	is := is.New(t)
	l := newFilledSim(200*time.Millisecond, 0)
	l.submitLasting("late", 3, 16000, 1)
	l.run(3 * time.Second)
	is.Equal(l.countRuns("late"), 0)
	l.run(1500 * time.Millisecond)
	is.Equal(l.countRuns("late"), 1)
	l.run(5 * time.Second)
	is.Equal(l.countRuns("late"), 1)
}

// Guards against a successor that lets long-running tasks fill the room before it knows the finite work,
// and against room that stays empty after the finite work has ended.
func TestSuccessorKeepsRoom(t *testing.T) {
	is := is.New(t)
	l := newLoadSim(1, 12)
	l.run(time.Second)
	l.arriveSteadily(67*time.Millisecond, 6*time.Second, 16000, 0)
	l.run(4 * time.Second)
	l.submitLasting("filler", 300, 4000, 1)
	l.run(5 * time.Second)
	is.Equal(l.countUrgent(), 0)
	is.True(l.keptCPU() >= 112)
	for range 11 {
		l.submitFinite(1, 16000, 0)
	}
	l.run(50 * time.Millisecond)
	snapshot := l.ledger.Snapshot(ledger.Offsets{})
	l.ledger = ledger.New()
	l.ledger.ApplySnapshot(snapshot)
	l.machine = dispatch.New(dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2, StopTime: 200 * time.Millisecond}, l.ledger, l.now, l.wall())
	l.step(dispatch.WorkersListed{Workers: l.listed()})
	l.run(2500 * time.Millisecond)
	is.True(l.keptCPU() >= 112)
	l.run(3500 * time.Millisecond)
	is.Equal(l.keptCPU(), 0.0)
}

// Guards against small finite tasks that divide the only piece in which a large one fits.
func TestSmallFiniteTasksLeaveLargePieces(t *testing.T) {
	is := is.New(t)
	l := newLoadSim(1, 6)
	l.run(time.Second)
	l.submitLasting("88", 2, 88000, 1)
	l.submitLasting("56", 3, 56000, 1)
	l.submitLasting("40", 1, 40000, 1)
	for range 6 {
		l.submitFinite(1, 20000, 0)
		l.submitFinite(2, 4000, 0)
		l.run(time.Second)
	}
	l.submitFinite(8, 4000, 0)
	l.run(100 * time.Millisecond)
	is.Equal(l.countUrgent(), 8)
	large := l.submitFinite(1, 20000, 0)
	l.run(100 * time.Millisecond)
	is.Equal(l.countRuns(large), 1)
}
