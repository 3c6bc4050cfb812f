package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/dispatch/dispatchtest"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

const (
	// appendAnswerDelay is the time between an append and its answer.
	appendAnswerDelay    = 3 * time.Millisecond
	simLease             = 5 * time.Second
	simPredecessorExpiry = 2*simLease + time.Second
)

// sim simulates a cell in virtual time: a log, workers, consecutive owners, and
// random faults that are determined by a seed.
type sim struct {
	*simWorld
	// intake and log are the two streams of the cell.
	intake  []*ledgerpb.Record
	log     []*ledgerpb.Record
	epoch   int64
	owners  []*simOwner
	workers map[string]*dispatchtest.Worker
	// faulty is true while answers are lost and commands are carried out late.
	faulty bool
	// logDownUntil is the time until which the log answers no appends.
	logDownUntil time.Duration
	// logDelay is added to the time of each append.
	logDelay time.Duration
	// removed is the number of workers that were removed permanently.
	removed int
	// cells are the cells that this one is coupled with by transfers, or nil; number is
	// its own number.
	cells  *simCells
	number int
	// tenants are those of the cell's submissions, or nil.
	tenants *simTenants
	// snapshot is the newest snapshot of the cell, or nil.
	snapshot [][]byte
}

// simOwner is the owner of one epoch: a machine and its ledger.
type simOwner struct {
	epoch   int64
	ledger  *ledger.Ledger
	machine *dispatch.Machine
	// intakeNext and cellNext are the offsets of the records to apply next.
	intakeNext int
	cellNext   int
	// frozen owners handle no events; commands that they sent before still arrive.
	frozen  bool
	retired bool
	// appendedAt is the time of the last append; it keeps appends in order.
	appendedAt time.Duration
	// missed: an answer of the log was lost because the owner was frozen, so the ledger
	// lacks records before cellNext.
	missed bool
}

func newSim(t *testing.T, seed uint64, workers int) *sim {
	s := newCellSim(newSimWorld(t, seed), workers)
	s.openEpoch()
	return s
}

// newCellSim returns a cell without an owner.
func newCellSim(world *simWorld, workers int) *sim {
	s := &sim{simWorld: world, workers: make(map[string]*dispatchtest.Worker)}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		s.workers[id] = dispatchtest.NewWorker(id, 16000)
	}
	return s
}

func (s *sim) run(until time.Duration) { s.runCells(until, []*sim{s}, func() {}) }

// openEpoch opens an epoch with a ledger that is read from the log: the whole intake
// before the cell stream.
func (s *sim) openEpoch() *simOwner {
	s.epoch++
	o := &simOwner{epoch: s.epoch, ledger: ledger.New()}
	if s.cells != nil {
		s.loadState(o)
	}
	for ; o.intakeNext < len(s.intake); o.intakeNext++ {
		o.apply(s.intake[o.intakeNext])
	}
	for ; o.cellNext < len(s.log); o.cellNext++ {
		o.apply(s.log[o.cellNext])
	}
	o.machine = dispatch.New(s.config(), o.ledger, s.now, time.UnixMilli(s.now.Milliseconds()))
	for _, previous := range s.owners {
		previous.retired = true
	}
	s.owners = append(s.owners, o)
	s.passOnTenants(o)
	s.passOnEnds(o)
	s.list(o)
	s.tick(o)
	return o
}

// passOnEnds tells a new owner the ends that the previous ones could not record: at once,
// late, or not at all.
func (s *sim) passOnEnds(o *simOwner) {
	var ends []dispatch.KnownEnd
	for _, previous := range s.owners[:len(s.owners)-1] {
		ends = append(ends, previous.machine.UnrecordedEnds()...)
	}
	if len(ends) > 0 && s.epoch%3 > 0 {
		s.after(time.Duration(s.epoch%3-1)*2*time.Second, func() { s.step(o, dispatch.EndsLearned{Ends: ends}) })
	}
}

// apply applies a record of either stream.
func (o *simOwner) apply(r *ledgerpb.Record) *ledger.Entry {
	return o.ledger.Apply(proto.Clone(r).(*ledgerpb.Record))
}

func (s *sim) owner() *simOwner { return s.owners[len(s.owners)-1] }

func (s *sim) tick(o *simOwner) {
	s.step(o, dispatch.Tick{Now: time.UnixMilli(s.now.Milliseconds())})
	if !o.retired {
		s.after(20*time.Millisecond, func() { s.tick(o) })
	}
}

func (s *sim) list(o *simOwner) {
	var list []workload.Worker
	for i := range len(s.workers) {
		if w := s.workers[fmt.Sprintf("w%d", i)]; w.Up && !w.Unlisted {
			list = append(list, w.Info)
		}
	}
	s.step(o, dispatch.WorkersListed{Workers: list})
	s.step(o, dispatch.ViewRead{View: dispatch.WorkerList, SentAt: s.now})
	if !o.retired {
		s.after(400*time.Millisecond, func() { s.list(o) })
	}
}

func (s *sim) appendIntake(r *ledgerpb.Record) {
	s.intake = append(s.intake, r)
	if s.cells != nil {
		s.deliver(len(s.intake) - 1)
		return
	}
	s.readIntake(s.owner())
}

// readIntake applies the records of the intake that an owner has not read yet.
func (s *sim) readIntake(o *simOwner) {
	for ; o.intakeNext < len(s.intake); o.intakeNext++ {
		s.applyIntake(o, o.intakeNext)
	}
}

func (s *sim) applyIntake(o *simOwner, offset int) {
	if e := o.apply(s.intake[offset]); e != nil {
		s.step(o, dispatch.EntryChanged{Entry: e})
	}
}

func (s *sim) step(o *simOwner, ev dispatch.Event) {
	if o.frozen || o.retired && o != s.owner() {
		return
	}
	for _, action := range o.machine.Step(s.now, ev) {
		s.carryOut(o, action)
	}
}

func (s *sim) carryOut(o *simOwner, action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Append:
		delay := s.delay(5)
		if s.faulty {
			delay = s.delay(300)
		}
		delay = max(delay+s.logDelay, s.logDownUntil-s.now)
		s.after(max(delay, o.appendedAt-s.now), func() { s.append(o, a) })
		o.appendedAt = max(o.appendedAt, s.now+delay)
	case dispatch.Start:
		sent := s.now
		s.sendCommand(func() (any, bool) { return s.start(o, a, sent) }, func(answer any, lost bool) {
			ev := dispatch.StartAnswered{Worker: a.Worker, Run: a.Run, Answer: dispatch.NoAnswer}
			if !lost {
				ev.Answer = answer.(dispatch.Answer)
				ev.Clock = s.workers[a.Address].Clock(s.now)
			}
			s.step(o, ev)
		})
	case dispatch.Stop:
		s.sendCommand(func() (any, bool) {
			w, answers := s.at(a.Target)
			if !answers || w == nil {
				return dispatch.WrongWorker, answers
			}
			return w.Stop(o.epoch, a), true
		}, func(answer any, lost bool) {
			ev := dispatch.StopAnswered{Worker: a.Worker, Incarnation: a.Incarnation, Run: a.Run, Answer: dispatch.NoAnswer}
			if !lost {
				ev.Answer = answer.(dispatch.Answer)
			}
			s.step(o, ev)
		})
	case dispatch.Heartbeat:
		s.heartbeat(o, a)
	case dispatch.FindCapacity:
		s.findCapacity(o, a)
	case dispatch.Transfer:
		s.transfer(o, a)
	case dispatch.CheckGuests:
		s.checkGuests(o, a.IDs)
	}
}

type heartbeatResult struct {
	report workload.Report
	answer dispatch.Answer
}

func (s *sim) heartbeat(o *simOwner, a dispatch.Heartbeat) {
	sent := s.now
	s.sendCommand(func() (any, bool) {
		w, answers := s.at(a.Target)
		if !answers || w == nil {
			return heartbeatResult{answer: dispatch.WrongWorker}, answers
		}
		if w.Info.Incarnation != a.Incarnation {
			// Only the incarnation that answers on a connection is sent a cursor on it.
			a.Cursor = 0
		}
		s.recordAcknowledged(w, a.Cursor, o.epoch)
		report, answer := w.Heartbeat(s.now, o.epoch, a)
		report.ConnectionEnded = s.crashes.takesFormerCalls
		return heartbeatResult{report, answer}, true
	}, func(answer any, lost bool) {
		if lost {
			s.step(o, dispatch.HeartbeatFailed{Worker: a.Worker, Answer: dispatch.NoAnswer})
			return
		}
		held := answer.(heartbeatResult)
		if held.answer != dispatch.Done {
			s.step(o, dispatch.HeartbeatFailed{Worker: a.Worker, Answer: held.answer})
			return
		}
		s.step(o, dispatch.HeartbeatAnswered{Worker: a.Worker, SentAt: sent, Report: held.report})
	})
}

// recordAcknowledged records the successes that a cursor acknowledges.
func (s *sim) recordAcknowledged(w *dispatchtest.Worker, cursor, epoch int64) {
	if epoch < w.Epoch {
		return
	}
	for _, e := range w.Ends {
		if e.Sequence <= cursor && e.Outcome == workload.Succeeded && !w.Voided[e.Sequence] {
			s.succeeded[e.Task] = true
		}
	}
}

func (s *sim) append(o *simOwner, a dispatch.Append) {
	if o.epoch != s.epoch || o.frozen {
		o.retired = true
		return
	}
	for _, r := range a.Records {
		s.log = append(s.log, proto.Clone(r).(*ledgerpb.Record))
	}
	end := len(s.log)
	s.after(appendAnswerDelay, func() {
		o.missed = o.missed || o.frozen
		s.step(o, dispatch.Appended{ID: a.ID})
		if o == s.owner() && !o.missed {
			o.cellNext = end
		}
	})
}

// start carries out a start command that was sent at a time.
func (s *sim) start(o *simOwner, a dispatch.Start, sent time.Duration) (any, bool) {
	w, answers := s.at(a.Target)
	if !answers || w == nil {
		return dispatch.WrongWorker, answers
	}
	if !s.placementRecorded(a.Run) {
		s.t.Fatalf("%v: start of %v without a record", s.now, a.Run)
	}
	r := s.newRun(a.Run)
	if s.faulty && s.random.IntN(8) == 0 && w.Runs[a.Run] == nil {
		return dispatch.NoRoom, true
	}
	before := len(w.Runs)
	answer := w.Start(s.now, o.epoch, a, r)
	if len(w.Runs) > before {
		s.checkStart(a.Run, sent)
		s.checkCap(a.Run)
		s.crashes.started(s, w, a.Run.Task)
		s.checkCapacity(w, a.Run, sent)
	}
	return answer, true
}

// newRun returns a run of a batch, or of a long-running task that fails at times.
func (s *sim) newRun(id workload.RunID) *dispatchtest.Run {
	r := &dispatchtest.Run{ID: id, Request: hostapi.Resources{MilliCPU: 4000}, Outcome: workload.Succeeded, StartedAt: s.now,
		EndsAt: s.now + time.Duration(300+s.random.IntN(1500))*time.Millisecond}
	switch {
	case s.cells.isLongRunning(id.Task.Submission):
		r.Outcome, r.EndsAt = workload.Errored, s.now+s.cells.timeToFailure()
	case s.lasting[id.Task.Submission]:
		r.EndsAt = s.now + time.Hour
	case s.random.IntN(20) == 0:
		r.Outcome = workload.Errored
	}
	return r
}

func (s *sim) placementRecorded(run workload.RunID) bool {
	for _, r := range s.log {
		if r.Placed != nil && r.Placed.Run == run.Run && r.Placed.Task.Submission == run.Task.Submission &&
			int(r.Placed.Task.Index) == run.Task.Index && int(r.Placed.Task.Step) == run.Task.Step {
			return true
		}
	}
	return false
}

func simSubmission(id string, width int) *workload.Submission {
	step := workload.Step{Tasks: width, Request: hostapi.Resources{MilliCPU: 4000, MemoryMiB: 100}, Estimate: time.Second}
	second := step
	second.After = []int{0}
	return &workload.Submission{
		ID: id, Queue: "q", Steps: []workload.Step{step, second},
		Policy: workload.Policy{Service: "register", MaxAttempts: 50, SlackFactor: 1.5},
	}
}

// Guards against two runs of a task at a time, a start after an acknowledged success,
// a start without its record and a submission that never ends, under lost answers,
// delayed commands, partitioned and restarted workers, and owners that freeze and are
// replaced.
func TestSchedulesOfOwnersAndWorkers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSchedule(t, seed)
		})
	}
}

func runSchedule(t *testing.T, seed uint64) {
	s := newSim(t, seed, 6)
	const submissions = 30
	for i := range submissions {
		s.after(time.Duration(s.random.IntN(20000))*time.Millisecond, func() {
			s.appendIntake(ledger.SubmittedRecord(simSubmission(fmt.Sprintf("s%d", i), 1+s.random.IntN(6))))
		})
	}
	for i := range 10 {
		id := fmt.Sprintf("cancelled%d", i)
		s.after(time.Duration(s.random.IntN(20000))*time.Millisecond, func() {
			s.appendIntake(ledger.SubmittedRecord(simSubmission(id, 1+s.random.IntN(6))))
			s.after(time.Duration(s.random.IntN(1500))*time.Millisecond, func() { s.appendIntake(ledger.CancelledRecord(id)) })
		})
	}
	s.after(time.Second, func() { s.faulty = true })
	for range 12 {
		s.after(time.Duration(s.random.IntN(25000))*time.Millisecond, s.injectFault)
	}
	s.after(26*time.Second, s.endFaults)
	s.run(s.now + 90*time.Second)
	cellLedger := s.owner().ledger
	for i := range submissions {
		if e := cellLedger.Find(fmt.Sprintf("s%d", i)); e == nil || e.State() != workload.Completed {
			t.Fatalf("s%d has not completed", i)
		}
	}
}
