package dispatch_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// simCells simulates cells that transfer long-running tasks to each other.
type simCells struct {
	*simWorld
	cells []*sim
	// home maps long-running submissions to their own cell.
	home map[string]*sim
	// longRunning are the submissions that were submitted with submit.
	longRunning map[string]bool
	// settledAt is when the effects of all faults have ended; 0 while faults go on.
	settledAt time.Duration
	// lastRun is when each task of a live long-running submission last had a run, or
	// was first seen.
	lastRun map[workload.TaskID]time.Duration
	// longest is the longest time for which a task had no run after settledAt.
	longest time.Duration
	// moves is the number of transfers of each task, without copies.
	moves map[workload.TaskID]int64
	// endless: long-running runs do not fail by themselves.
	endless bool
	// lease is the duration of leases if it is not simLease.
	lease time.Duration
}

// newSimCells returns cells with the given numbers of workers.
func newSimCells(t *testing.T, seed uint64, workers ...int) *simCells {
	c := &simCells{
		simWorld: newSimWorld(t, seed), home: make(map[string]*sim), longRunning: make(map[string]bool),
		lastRun: make(map[workload.TaskID]time.Duration), moves: make(map[workload.TaskID]int64),
	}
	for number, count := range workers {
		s := newCellSim(c.simWorld, count)
		s.cells, s.number = c, number
		c.cells = append(c.cells, s)
	}
	for _, s := range c.cells {
		s.openEpoch()
		s.saveSnapshots()
	}
	return c
}

func (c *simCells) run(until time.Duration) { c.runCells(until, c.cells, c.checkTasks) }

// submit submits long-running tasks to a cell.
func (c *simCells) submit(s *sim, id string, tasks int) {
	step := workload.Step{Tasks: tasks, LongRunning: true, Request: hostapi.Resources{MilliCPU: 4000, MemoryMiB: 100}, Estimate: time.Second}
	c.home[id], c.longRunning[id] = s, true
	for i := range tasks {
		c.lastRun[workload.TaskID{Submission: id, Index: i}] = c.now
	}
	s.appendIntake(ledger.SubmittedRecord(&workload.Submission{
		ID: id, Queue: "long", Steps: []workload.Step{step}, Policy: workload.Policy{Service: "register", SlackFactor: 1.5},
	}))
}

// cancel cancels a long-running submission in its own cell.
func (c *simCells) cancel(id string) {
	if _, again := c.cancelledAt[id]; !again {
		c.cancelledAt[id] = c.now
	}
	c.home[id].appendIntake(ledger.CancelledRecord(id))
}

// submitBatch submits a batch to a cell.
func (c *simCells) submitBatch(s *sim, id string, tasks int) {
	c.home[id] = s
	s.appendIntake(ledger.SubmittedRecord(simSubmission(id, tasks)))
}

// isLongRunning reports whether a submission was submitted with submit.
func (c *simCells) isLongRunning(id string) bool { return c != nil && c.longRunning[id] }

// timeToFailure returns after what time a long-running run fails: within seconds while
// faults go on, and half of the runs not at all after that.
func (c *simCells) timeToFailure() time.Duration {
	switch {
	case c.endless:
		return time.Hour
	case c.cells[0].faulty:
		return 300*time.Millisecond + c.randomTime(4*time.Second)
	case c.random.IntN(2) == 0:
		return time.Hour
	}
	return 500*time.Millisecond + c.randomTime(12*time.Second)
}

// checkTasks fails the test if, after the faults, a cancelled task runs or a live one
// has had no run for too long.
func (c *simCells) checkTasks() {
	for _, s := range c.cells {
		for _, w := range s.workers {
			if !w.Up {
				continue
			}
			for run := range w.Runs {
				c.checkRun(run)
			}
		}
	}
	if c.settledAt == 0 || c.now < c.settledAt {
		return
	}
	for task, at := range c.lastRun {
		if _, cancelled := c.cancelledAt[task.Submission]; cancelled {
			continue
		}
		waited := c.now - max(at, c.settledAt)
		c.longest = max(c.longest, waited)
		if waited > maxRestartDelay {
			c.t.Fatalf("%v: %v has had no run for %v", c.now, task, waited)
		}
	}
}

func (c *simCells) checkRun(run workload.RunID) {
	if !c.isLongRunning(run.Task.Submission) {
		return
	}
	c.lastRun[run.Task] = c.now
	at, cancelled := c.cancelledAt[run.Task.Submission]
	if cancelled && c.settledAt > 0 && c.now-max(at, c.settledAt) > maxStopAfterCancel {
		c.t.Fatalf("%v: %v runs %v after the cancellation", c.now, run, c.now-at)
	}
}

// deliver brings a record of the intake to the cell's owner: by a notification, which
// may be lost and may overtake earlier records, and by a read of the intake.
func (s *sim) deliver(offset int) {
	s.cells.countMove(s.intake[offset])
	delay, lost := s.delay(10), false
	if s.faulty {
		delay, lost = s.delay(200), s.random.IntN(4) == 0
	}
	s.after(delay, func() { s.tailIntake(s.owner()) })
	if lost {
		return
	}
	s.after(s.delay(5), func() {
		o := s.owner()
		if o.frozen || offset < o.intakeNext {
			return
		}
		s.applyIntake(o, offset)
		if offset == o.intakeNext {
			o.intakeNext++
		}
	})
}

// countMove counts a transfer when its first copy is in an intake.
func (c *simCells) countMove(r *ledgerpb.Record) {
	if r.Transferred == nil {
		return
	}
	for _, t := range r.Transferred.Tasks {
		id := workload.TaskID{Submission: r.Transferred.Id, Step: int(t.Step), Index: int(t.Index)}
		c.moves[id] = max(c.moves[id], t.Transfer)
	}
}

// tailIntake makes an owner read the intake once it is not frozen.
func (s *sim) tailIntake(o *simOwner) {
	switch {
	case o != s.owner():
	case o.frozen:
		s.after(50*time.Millisecond, func() { s.tailIntake(o) })
	default:
		s.readIntake(o)
	}
}

// config returns the settings of the newest epoch.
func (s *sim) config() dispatch.Config {
	config := dispatch.Config{
		Epoch: s.epoch, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2,
		PredecessorExpiry: simPredecessorExpiry,
	}
	if s.cells == nil {
		return config
	}
	config.CellOf = func(id string) int { return s.cells.home[id].number }
	if s.cells.lease > 0 {
		config.Lease, config.PredecessorExpiry = s.cells.lease, 2*s.cells.lease+time.Second
	}
	return config
}

// saveSnapshots makes the owner save a snapshot from time to time.
func (s *sim) saveSnapshots() {
	if o := s.owner(); !o.frozen && !o.missed {
		s.snapshot = nil
		for _, p := range o.ledger.SnapshotWith(ledger.Offsets{Cell: int64(o.cellNext), Intake: int64(o.intakeNext)}, o.machine.StoppingRuns()) {
			data, err := proto.Marshal(p)
			if err != nil {
				s.t.Fatal(err)
			}
			s.snapshot = append(s.snapshot, data)
		}
	}
	s.after(s.delay(3000), s.saveSnapshots)
}

// loadState gives a new owner the state that its node has: nothing, or the ledger of an
// earlier epoch of the same node, and the newest snapshot if that is newer. At times the
// snapshot can't be read.
func (s *sim) loadState(o *simOwner) {
	if s.random.IntN(3) == 0 && len(s.owners) > 0 {
		previous := s.owners[s.random.IntN(len(s.owners))]
		if previous.ledger != nil && !previous.missed {
			o.ledger, o.intakeNext, o.cellNext = previous.ledger, previous.intakeNext, previous.cellNext
			previous.ledger, previous.missed = nil, true
		}
	}
	if s.snapshot == nil || s.random.IntN(4) == 0 {
		return
	}
	parts, err := ledger.DecodeSnapshot(s.snapshot)
	if err != nil {
		s.t.Fatal(err)
	}
	if int(parts[0].CellNext) <= o.cellNext {
		return
	}
	at := o.ledger.ApplySnapshot(parts)
	o.cellNext, o.intakeNext = int(at.Cell), max(o.intakeNext, int(at.Intake))
}
