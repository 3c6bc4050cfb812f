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

// sim plays a cell in virtual time: a log, workers, owners that follow each
// other, and faults drawn from a seed.
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
	// succeeded are the tasks with a success that was acknowledged to a worker.
	succeeded map[workload.TaskID]bool
	// faulty while answers are lost and orders are carried out late.
	faulty bool
	// logDownUntil is when the log answers again.
	logDownUntil time.Duration
	starts       int
	// gone counts the workers that were taken away for good.
	gone int
}

// simOwner is one epoch: a machine and its book.
type simOwner struct {
	epoch   int64
	book    *ledger.Ledger
	machine *dispatch.Machine
	// frozen owners take no events; their orders on the way still arrive.
	frozen  bool
	retired bool
	// appendedAt keeps the appends in their order.
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
	s.open()
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.serial++
	heap.Push(&s.queue, event{at: s.now + d, serial: s.serial, do: do})
}

// run plays until a time.
func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		ev := heap.Pop(&s.queue).(event)
		s.now = ev.at
		for _, w := range s.workers {
			w.advance(s.now)
		}
		ev.do()
		s.check()
	}
	s.now = until
}

// open begins an epoch with a book that was read from the log.
func (s *sim) open() *simOwner {
	s.epoch++
	o := &simOwner{epoch: s.epoch, book: ledger.New()}
	for _, r := range s.log {
		o.book.Apply(proto.Clone(r).(*ledgerpb.Record))
	}
	o.machine = dispatch.New(dispatch.Config{
		Epoch: s.epoch, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2,
		PredecessorExpiry: 2*simLease + time.Second,
	}, o.book, s.now, time.UnixMilli(s.now.Milliseconds()))
	for _, former := range s.owners {
		former.retired = true
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

// submit puts a record into the intake.
func (s *sim) intake(r *ledgerpb.Record) {
	s.log = append(s.log, r)
	o := s.owner()
	if e := o.book.Apply(proto.Clone(r).(*ledgerpb.Record)); e != nil {
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
		s.order(func() (any, bool) { return s.start(o, a) }, func(answer any, lost bool) {
			ev := dispatch.StartAnswered{Worker: a.Worker, Run: a.Run, Answer: dispatch.NoAnswer}
			if !lost {
				ev.Answer = answer.(dispatch.Answer)
				ev.Clock = s.workers[a.Worker].clock(s.now)
			}
			s.step(o, ev)
		})
	case dispatch.Stop:
		s.order(func() (any, bool) {
			w := s.workers[a.Worker]
			if !w.up || w.cut || w.info.Incarnation != a.Incarnation {
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
		s.hold(o, a)
	}
}

type heldReport struct {
	report workload.Report
	answer dispatch.Answer
}

func (s *sim) hold(o *simOwner, a dispatch.Heartbeat) {
	sent := s.now
	s.order(func() (any, bool) {
		w := s.workers[a.Worker]
		if !w.up || w.cut || w.info.Incarnation != a.Incarnation {
			return nil, false
		}
		s.noteAcknowledged(w, a.Cursor, o.epoch)
		report, answer := w.hold(s.now, o.epoch, a)
		return heldReport{report, answer}, true
	}, func(answer any, lost bool) {
		if lost {
			s.step(o, dispatch.HeartbeatFailed{Worker: a.Worker, Answer: dispatch.NoAnswer})
			return
		}
		held := answer.(heldReport)
		if held.answer != dispatch.Done {
			s.step(o, dispatch.HeartbeatFailed{Worker: a.Worker, Answer: held.answer})
			return
		}
		s.step(o, dispatch.HeartbeatAnswered{Worker: a.Worker, SentAt: sent, Report: held.report})
	})
}

// noteAcknowledged notes successes that a cursor acknowledges.
func (s *sim) noteAcknowledged(w *simWorker, cursor, epoch int64) {
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

// order carries an order to a worker and its answer back. Both may be lost,
// and a lost order may be carried out seconds later.
func (s *sim) order(do func() (any, bool), answered func(answer any, lost bool)) {
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
	s.step(o, dispatch.Appended{Token: a.Token})
}

func (s *sim) start(o *simOwner, a dispatch.Start) (any, bool) {
	w := s.workers[a.Worker]
	if !w.up || w.cut || w.info.Incarnation != a.Incarnation {
		return nil, false
	}
	if !s.recorded(a.Run) {
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

func (s *sim) recorded(run workload.RunID) bool {
	for _, r := range s.log {
		if r.Placed != nil && r.Placed.Run == run.Run && r.Placed.Task.Submission == run.Task.Submission &&
			int(r.Placed.Task.Index) == run.Task.Index && int(r.Placed.Task.Step) == run.Task.Step {
			return true
		}
	}
	return false
}

// check fails the test if a task runs twice at a time, or a worker is overfull.
func (s *sim) check() {
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

// Guards against two runs of a task at a time, a start after an acknowledged
// success, a start without its record and a submission that never ends, under
// lost answers, late orders, cut and reborn workers and owners that freeze and
// are replaced.
func TestSchedulesOfOwnersAndWorkers(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playSchedule(t, seed) })
	}
}

func playSchedule(t *testing.T, seed uint64) {
	s := newSim(t, seed, 6)
	const submissions = 30
	for i := range submissions {
		s.after(time.Duration(s.random.IntN(20000))*time.Millisecond, func() {
			s.intake(ledger.SubmittedRecord(simSubmission(fmt.Sprintf("s%d", i), 1+s.random.IntN(6))))
		})
	}
	for i := range 10 {
		id := fmt.Sprintf("cancelled%d", i)
		s.after(time.Duration(s.random.IntN(20000))*time.Millisecond, func() {
			s.intake(ledger.SubmittedRecord(simSubmission(id, 1+s.random.IntN(6))))
			s.after(time.Duration(s.random.IntN(1500))*time.Millisecond, func() { s.intake(ledger.CancelledRecord(id)) })
		})
	}
	s.after(time.Second, func() { s.faulty = true })
	for range 12 {
		s.after(time.Duration(s.random.IntN(25000))*time.Millisecond, s.fault)
	}
	s.after(26*time.Second, s.heal)
	s.run(s.now + 90*time.Second)
	book := s.owner().book
	for i := range submissions {
		if e := book.Find(fmt.Sprintf("s%d", i)); e == nil || e.State() != workload.Completed {
			t.Fatalf("s%d has not completed", i)
		}
	}
}
