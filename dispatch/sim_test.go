package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

const simLease = 5 * time.Second

// sim simulates a cell in virtual time: a log, workers, consecutive owners, and
// random faults that are determined by a seed.
type sim struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Duration
	queue   events
	serial  int
	log     []*ledgerpb.Record
	epoch   int64
	owners  []*simOwner
	workers map[string]*simWorker
	// succeeded are the tasks whose success was acknowledged to a worker.
	succeeded map[workload.TaskID]bool
	// faulty is true while answers are lost and commands are carried out late.
	faulty bool
	// logDownUntil is the time until which the log answers no appends.
	logDownUntil time.Duration
	starts       int
	// removed is the number of workers that were removed permanently.
	removed int
}

// simOwner is the owner of one epoch: a machine and its ledger.
type simOwner struct {
	epoch   int64
	ledger  *ledger.Ledger
	machine *dispatch.Machine
	// frozen owners handle no events; commands that they sent before still arrive.
	frozen  bool
	retired bool
	// appendedAt is the time of the last append; it keeps appends in order.
	appendedAt time.Duration
}

func newSim(t *testing.T, seed uint64, workers int) *sim {
	s := &sim{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Minute,
		workers: make(map[string]*simWorker), succeeded: make(map[workload.TaskID]bool),
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		s.workers[id] = newSimWorker(id, 16000)
	}
	s.openEpoch()
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.serial++
	heap.Push(&s.queue, event{at: s.now + d, serial: s.serial, action: do})
}

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		ev := heap.Pop(&s.queue).(event)
		s.now = ev.at
		for _, w := range s.workers {
			w.advance(s.now)
		}
		ev.action()
		s.checkInvariants()
	}
	s.now = until
}

// openEpoch opens an epoch with a ledger that is read from the log.
func (s *sim) openEpoch() *simOwner {
	s.epoch++
	o := &simOwner{epoch: s.epoch, ledger: ledger.New()}
	for _, r := range s.log {
		o.ledger.Apply(proto.Clone(r).(*ledgerpb.Record))
	}
	o.machine = dispatch.New(dispatch.Config{
		Epoch: s.epoch, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2,
		PredecessorExpiry: 2*simLease + time.Second,
	}, o.ledger, s.now, time.UnixMilli(s.now.Milliseconds()))
	for _, previous := range s.owners {
		previous.retired = true
	}
	s.owners = append(s.owners, o)
	s.list(o)
	s.tick(o)
	return o
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
		if w := s.workers[fmt.Sprintf("w%d", i)]; w.up {
			list = append(list, w.info)
		}
	}
	s.step(o, dispatch.WorkersListed{Workers: list})
	if !o.retired {
		s.after(400*time.Millisecond, func() { s.list(o) })
	}
}

func (s *sim) appendIntake(r *ledgerpb.Record) {
	s.log = append(s.log, r)
	o := s.owner()
	if e := o.ledger.Apply(proto.Clone(r).(*ledgerpb.Record)); e != nil {
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
		delay = max(delay, s.logDownUntil-s.now)
		s.after(max(delay, o.appendedAt-s.now), func() { s.append(o, a) })
		o.appendedAt = max(o.appendedAt, s.now+delay)
	case dispatch.Start:
		s.sendCommand(func() (any, bool) { return s.start(o, a) }, func(answer any, lost bool) {
			ev := dispatch.StartAnswered{Worker: a.Worker, Run: a.Run, Answer: dispatch.NoAnswer}
			if !lost {
				ev.Answer = answer.(dispatch.Answer)
				ev.Clock = s.workers[a.Worker].clock(s.now)
			}
			s.step(o, ev)
		})
	case dispatch.Stop:
		s.sendCommand(func() (any, bool) {
			w := s.workers[a.Worker]
			if !w.up || w.partitioned || w.info.Incarnation != a.Incarnation {
				return nil, false
			}
			return w.stop(o.epoch, a), true
		}, func(answer any, lost bool) {
			ev := dispatch.StopAnswered{Worker: a.Worker, Run: a.Run, Answer: dispatch.NoAnswer}
			if !lost {
				ev.Answer = answer.(dispatch.Answer)
			}
			s.step(o, ev)
		})
	case dispatch.Heartbeat:
		s.heartbeat(o, a)
	}
}

type heartbeatResult struct {
	report workload.Report
	answer dispatch.Answer
}

func (s *sim) heartbeat(o *simOwner, a dispatch.Heartbeat) {
	sent := s.now
	s.sendCommand(func() (any, bool) {
		w := s.workers[a.Worker]
		if !w.up || w.partitioned || w.info.Incarnation != a.Incarnation {
			return nil, false
		}
		s.recordAcknowledged(w, a.Cursor, o.epoch)
		report, answer := w.heartbeat(s.now, o.epoch, a)
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
func (s *sim) recordAcknowledged(w *simWorker, cursor, epoch int64) {
	if epoch < w.epoch {
		return
	}
	for _, e := range w.ends {
		if e.Sequence <= cursor && e.Outcome == workload.Succeeded && !w.voided[e.Sequence] {
			s.succeeded[e.Task] = true
		}
	}
}

func (s *sim) delay(ms int) time.Duration {
	return time.Duration(1+s.random.IntN(2*ms)) * time.Millisecond
}

// sendCommand carries a command to a worker and its answer back. Both may be lost,
// and a lost command may be carried out seconds later.
func (s *sim) sendCommand(do func() (any, bool), answered func(answer any, lost bool)) {
	const timeout = 700 * time.Millisecond
	late := s.faulty && s.random.IntN(10) == 0
	lost := s.faulty && s.random.IntN(10) == 0
	if late {
		s.after(time.Duration(s.random.IntN(9000))*time.Millisecond, func() { do() })
		s.after(timeout, func() { answered(nil, true) })
		return
	}
	s.after(s.delay(5), func() {
		answer, ok := do()
		if !ok || lost {
			s.after(timeout, func() { answered(nil, true) })
			return
		}
		s.after(s.delay(5), func() { answered(answer, false) })
	})
}

func (s *sim) append(o *simOwner, a dispatch.Append) {
	if o.epoch != s.epoch || o.frozen {
		o.retired = true
		return
	}
	for _, r := range a.Records {
		s.log = append(s.log, proto.Clone(r).(*ledgerpb.Record))
	}
	s.step(o, dispatch.Appended{ID: a.ID})
}

func (s *sim) start(o *simOwner, a dispatch.Start) (any, bool) {
	w := s.workers[a.Worker]
	if !w.up || w.partitioned || w.info.Incarnation != a.Incarnation {
		return nil, false
	}
	if !s.placementRecorded(a.Run) {
		s.t.Fatalf("%v: start of %v without a record", s.now, a.Run)
	}
	r := &simRun{id: a.Run, request: hostapi.Resources{MilliCPU: 4000}, outcome: workload.Succeeded,
		endsAt: s.now + time.Duration(300+s.random.IntN(1500))*time.Millisecond}
	if s.random.IntN(20) == 0 {
		r.outcome = workload.Errored
	}
	if s.faulty && s.random.IntN(8) == 0 && w.runs[a.Run] == nil {
		return dispatch.NoRoom, true
	}
	before := len(w.runs)
	answer := w.start(s.now, o.epoch, a, r)
	if len(w.runs) > before {
		s.starts++
		if s.succeeded[a.Run.Task] {
			s.t.Fatalf("%v: %v started after an acknowledged success", s.now, a.Run)
		}
	}
	return answer, true
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

// checkInvariants fails the test if two runs of a task are active at a time.
func (s *sim) checkInvariants() {
	seen := make(map[workload.TaskID]string)
	for id, w := range s.workers {
		if !w.up {
			continue
		}
		for run := range w.runs {
			if other, ok := seen[run.Task]; ok {
				s.t.Fatalf("%v: %v runs on %s and on %s", s.now, run.Task, id, other)
			}
			seen[run.Task] = id
		}
	}
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
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSchedule(t, seed) })
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
