package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// moveFixture is a machine whose workers have 64 cores each, and runs that are at work.
type moveFixture struct {
	*Machine
	workers map[string]*worker
}

func newMoveFixture(names ...string) *moveFixture {
	f := &moveFixture{
		Machine: New(Config{Epoch: 1, Lease: 5 * time.Second, StopTime: 200 * time.Millisecond}, ledger.New(), time.Minute, time.UnixMilli(0)),
		workers: make(map[string]*worker),
	}
	f.longWaits = make(map[*ledger.Step]*longWait)
	for _, name := range names {
		w := f.addWorker(workload.Worker{
			Incarnation: workload.Incarnation{Worker: name, StartMillis: 1}, Address: name, Service: "register",
			Capacity: hostapi.Resources{MilliCPU: 64000, MemoryMiB: 1000},
		})
		w.listed, w.reported = true, true
		f.workers[name] = w
	}
	return f
}

// submit adds a submission of one step.
func (f *moveFixture) submit(id string, priority int, step workload.Step) *ledger.Entry {
	step.Request.MemoryMiB, step.Estimate = 10, max(step.Estimate, time.Minute)
	return f.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: id, Queue: "q", Steps: []workload.Step{step},
		Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 3, Priority: priority},
	}))
}

// wait adds a long-running submission of one task that has waited for long enough for a move. It
// is due after the other submissions of its priority.
func (f *moveFixture) wait(id string, priority int, milliCPU int64) {
	e := f.submit(id, priority, workload.Step{Tasks: 1, LongRunning: true, Estimate: time.Hour, Request: hostapi.Resources{MilliCPU: milliCPU}})
	task := workload.TaskID{Submission: id}
	f.longWaits[&e.Occurrence(0).Steps[0]] = &longWait{step: &e.Steps[0], since: map[workload.TaskID]time.Duration{task: 0}}
}

// work places the tasks of a submission on workers, where they are at work.
func (f *moveFixture) work(e *ledger.Entry, on ...string) {
	for i, name := range on {
		r := f.newRun(e, &e.Occurrence(0).Steps[0].Tasks[i], 1, f.workers[name])
		r.phase, r.progressPercent = running, 100
	}
}

// canMove reports whether a search finds that a task may be moved.
func (f *moveFixture) canMove(e *ledger.Entry) bool {
	return f.newMoveSearch(f.usableWorkers()).canMove(f.active[workload.TaskID{Submission: e.ID}])
}

// stoppingRuns returns the runs of a submission that are being stopped.
func (f *moveFixture) stoppingRuns(submission string) (out []*run) {
	for _, r := range f.byEntry[submission] {
		if r.stopRequested {
			out = append(out, r)
		}
	}
	return out
}

// Guards against a run that is moved to room which another task has claimed earlier in the same
// planning round: its task would have no place.
func TestRunIsNotMovedToClaimedRoom(t *testing.T) {
	is := is.New(t)
	f := newMoveFixture("a", "b")
	lasting := func(tasks int, milliCPU int64) workload.Step {
		return workload.Step{Tasks: tasks, LongRunning: true, Request: hostapi.Resources{MilliCPU: milliCPU}}
	}
	f.work(f.submit("large", 1, lasting(2, 40000)), "a", "b")
	f.work(f.submit("small", 1, lasting(2, 10000)), "a", "b")
	f.work(f.submit("finite", 1, workload.Step{Tasks: 2, Request: hostapi.Resources{MilliCPU: 14000}}), "a", "b")
	f.wait("nowhere", 0, 60000)
	f.wait("displaces", 0, 14000)
	f.wait("moves", 1, 24000)
	f.plan()
	for _, w := range f.workers {
		left := w.Capacity.Sub(w.reserved).Add(w.stoppingReserved())
		is.True(w.claimed.Fits(left)) // the room that is claimed becomes free
	}
	is.Equal(len(f.stoppingRuns("finite")), 1)
	is.Equal(len(f.stoppingRuns("small")), 0)
}

// Guards against a run that is moved although, earlier in the same planning round, as many runs of
// its step as may be unavailable were stopped on draining workers.
func TestRunIsNotMovedBesideOneThatLeavesADrainingWorker(t *testing.T) {
	is := is.New(t)
	f := newMoveFixture("a", "b", "c", "d")
	f.workers["d"].Draining = true
	lasting := func(tasks int, milliCPU int64) workload.Step {
		return workload.Step{Tasks: tasks, LongRunning: true, MaxUnavailable: 1, Request: hostapi.Resources{MilliCPU: milliCPU}}
	}
	f.work(f.submit("large", 1, lasting(3, 40000)), "a", "b", "c")
	f.work(f.submit("small", 1, lasting(3, 10000)), "a", "b", "d")
	f.work(f.submit("tiny", 1, lasting(1, 12000)), "c")
	f.wait("nowhere", 0, 60000)
	f.wait("moves", 1, 24000)
	f.plan()
	is.Equal(len(f.stoppingRuns("small")), 1)
	is.Equal(f.stoppingRuns("small")[0].worker.ID(), "d")
}

// Guards against a guest that is moved although its own cell has not confirmed it lately: its task
// would not be started again.
func TestUnconfirmedGuestIsNotMoved(t *testing.T) {
	is := is.New(t)
	f, home := newMoveFixture("a", "b"), ledger.New()
	e := home.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: "guest", Queue: "q", Policy: workload.Policy{Service: "register"},
		Steps: []workload.Step{{Tasks: 1, LongRunning: true, Request: hostapi.Resources{MilliCPU: 10000}}},
	}))
	task := e.Task(workload.TaskID{Submission: "guest"})
	home.Apply(ledger.ReleasedRecord(task, 1, ""))
	guest := f.ledger.Apply(ledger.TransferredRecord(e, task))
	f.work(guest, "a")
	is.True(!f.canMove(guest))
	f.transfers.confirmedAt["guest"] = f.now
	is.True(f.canMove(guest))
	f.now += maxConfirmationAge + time.Millisecond
	is.True(!f.canMove(guest))
}

// Guards against a run that is moved to the worker on which its task last failed, or a task that is
// given room where it last failed, although another worker would do.
func TestMovesAvoidWorkersOnWhichTasksFailed(t *testing.T) {
	lasting := func(tasks int, milliCPU int64) workload.Step {
		return workload.Step{Tasks: tasks, LongRunning: true, Request: hostapi.Resources{MilliCPU: milliCPU}}
	}
	for _, test := range []struct {
		task     workload.TaskID
		failedOn string
		moved    string
	}{
		{workload.TaskID{Submission: "waits"}, "a", "b"}, {workload.TaskID{Submission: "waits"}, "b", "a"},
		{workload.TaskID{Submission: "small"}, "b", "b"}, {workload.TaskID{Submission: "small", Index: 1}, "a", "a"},
	} {
		is := is.New(t)
		f := newMoveFixture("a", "b")
		f.work(f.submit("large", 1, lasting(2, 40000)), "a", "b")
		f.work(f.submit("small", 1, lasting(2, 10000)), "a", "b")
		f.wait("waits", 1, 24000)
		f.avoid[test.task] = test.failedOn
		f.plan()
		is.Equal(len(f.stoppingRuns("small")), 1)
		is.Equal(f.stoppingRuns("small")[0].worker.ID(), test.moved)
	}
}

// Guards against a run that is moved for a task that a worker could take without its finite runs,
// in a round that displaces none because it follows another one closely.
func TestRunIsNotMovedWhereFiniteRunsCanBeDisplaced(t *testing.T) {
	is := is.New(t)
	f := newMoveFixture("a", "b", "c")
	lasting := func(tasks int, milliCPU int64) workload.Step {
		return workload.Step{Tasks: tasks, LongRunning: true, Request: hostapi.Resources{MilliCPU: milliCPU}}
	}
	f.work(f.submit("large", 1, lasting(2, 40000)), "a", "b")
	f.work(f.submit("small", 1, lasting(2, 10000)), "a", "b")
	f.work(f.submit("finite", 1, workload.Step{Tasks: 1, Request: hostapi.Resources{MilliCPU: 60000}}), "c")
	f.wait("waits", 1, 24000)
	f.displacedAt = f.now
	f.plan()
	is.Equal(len(f.stoppingRuns("small")), 0)
	f.now += displaceInterval
	f.plan()
	is.Equal(len(f.stoppingRuns("small")), 0)
	is.Equal(len(f.stoppingRuns("finite")), 1)
}

// Guards against a run that is moved after a takeover while another one of its step, which its
// worker lists as active, may be ending by an order of the previous owner.
func TestRunIsNotMovedBesideOneThatAPreviousOwnerMayHaveStopped(t *testing.T) {
	is := is.New(t)
	f := newMoveFixture("a", "b")
	small := f.submit("small", 1, workload.Step{Tasks: 2, LongRunning: true, MaxUnavailable: 1, Request: hostapi.Resources{MilliCPU: 10000}})
	f.work(small, "a", "b")
	is.True(f.canMove(small))
	other := f.active[workload.TaskID{Submission: "small", Index: 1}]
	other.phase, other.inherited, other.progressPercent = starting, true, 0
	is.True(!f.canMove(small))
	f.updateRun(other, &workload.ActiveRun{RunID: other.id, ProgressPercent: 100})
	is.Equal(other.phase, running)
	is.True(!f.canMove(small))
	f.now += f.config.StopTime + stopMargin + time.Millisecond
	is.True(f.canMove(small))
}

// Guards against a task that waits because the moves that leave the least room unused would displace
// finite runs of a higher priority, although another move displaces nothing, or only others.
func TestMoveIsFoundBesideFiniteRunsThatStay(t *testing.T) {
	lasting := func(milliCPU int64) workload.Step {
		return workload.Step{Tasks: 1, LongRunning: true, Request: hostapi.Resources{MilliCPU: milliCPU}}
	}
	for name, test := range map[string]struct {
		full, free []string
		displaced  int
	}{
		"target": {full: []string{"a"}, free: []string{"x", "y"}},
		"source": {full: []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}, free: []string{"x", "y"}},
		"finite": {full: []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"}, free: []string{"x", "y"}, displaced: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newMoveFixture(append(test.full, test.free...)...)
			for _, w := range test.full {
				f.work(f.submit("large-"+w, 1, lasting(40000)), w)
				f.work(f.submit("small-"+w, 1, lasting(10000)), w)
				f.work(f.submit("urgent-"+w, 0, workload.Step{Tasks: 1, Request: hostapi.Resources{MilliCPU: 14000}}), w)
			}
			f.work(f.submit("large-x", 1, lasting(39000)), "x")
			f.work(f.submit("small-x", 1, lasting(10000)), "x")
			f.work(f.submit("large-y", 1, lasting(49000)), "y")
			if test.displaced > 0 {
				f.work(f.submit("finite", 2, workload.Step{Tasks: 1, Request: hostapi.Resources{MilliCPU: 15000}}), "x")
			}
			f.wait("waits", 1, 24000)
			f.plan()
			is.Equal(len(f.stoppingRuns("small-x")), 1)
			is.Equal(len(f.stoppingRuns("finite")), test.displaced)
		})
	}
}
