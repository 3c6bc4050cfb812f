package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// handOver replaces the owner by a planned hand-over: the successor is told the leases that
// workers still hold. Records whose append was not carried out are lost.
func (s *sim) handOver() {
	leases := make(map[workload.Incarnation]time.Duration)
	for worker, expiry := range s.owner().machine.Leases(s.now) {
		leases[worker] = expiry.All
	}
	s.step(s.openEpoch(), dispatch.PredecessorResigned{Sole: true, Leases: leases})
}

// handOverOften hands over in series for a time, at intervals between 0.3 s and 4 s.
func (s *sim) handOverOften(last time.Duration) {
	for at := time.Duration(0); at < last; at += 300*time.Millisecond + time.Duration(s.random.IntN(3700))*time.Millisecond {
		s.after(at, s.handOver)
	}
}

// runDeadlyHandOvers runs healthy submissions beside tasks that crash their workers, with
// hand-overs in series, and checks what becomes of them.
func runDeadlyHandOvers(t *testing.T, seed uint64, change func(s *sim)) {
	s := newSim(t, seed, 12)
	s.crashes.newIDs, s.crashes.reset = true, true
	s.crashes.crashes = func(id workload.TaskID) bool { return id.Submission[:1] == "d" && id.Index == 0 }
	change(s)
	s.submitOften(30)
	for i := range 3 {
		s.after(time.Duration(1000+s.random.IntN(9000))*time.Millisecond, func() {
			s.appendIntake(ledger.SubmittedRecord(simSubmission(fmt.Sprintf("d%d", i), 1+s.random.IntN(4))))
		})
	}
	s.handOverOften(40 * time.Second)
	s.run(s.now + 120*time.Second)
	s.expectCompleted(30)
	for i := range 3 {
		s.expectState(fmt.Sprintf("d%d", i), workload.Failed)
	}
	for id, n := range s.crashes.workers {
		if n < 2 {
			t.Errorf("%v was given up after %d crashes", id, n)
		}
	}
}

// Guards against evidence of a crash that planned hand-overs in series lose: the task would
// be started more than five times.
func TestTaskThatCrashesItsWorkersIsGivenUpOverHandOvers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runDeadlyHandOvers(t, seed, func(*sim) {})
		})
	}
}

// Guards against evidence that is lost because leases expire before it is known whether the
// worker crashed, and hand-overs come between the two.
func TestTaskThatCrashesItsWorkersIsGivenUpAlthoughTheyReturnLate(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runDeadlyHandOvers(t, seed, func(s *sim) { s.crashes.downTime = simLease + 3*time.Second })
		})
	}
}

// Guards against evidence of a crash that planned hand-overs in series lose while the log
// is slow, so that most records of a crash are in flight at a hand-over.
func TestTaskThatCrashesItsWorkersIsGivenUpOverHandOversWithASlowLog(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runDeadlyHandOvers(t, seed, func(s *sim) { s.logDelay = 500 * time.Millisecond })
		})
	}
}

// Guards against a successor that knows no address of a worker which another one has
// replaced, and so forgets the crash.
func TestSuccessorFindsACrashOfAWorkerThatIsNotListed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("deadly", plainStep)
	is.Equal(h.count(startOf("deadly")), 1)
	h.machine = dispatch.New(dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2, PredecessorExpiry: time.Minute}, h.ledger, h.now, time.Now())
	h.handle(dispatch.WorkersListed{Workers: []workload.Worker{{Incarnation: workload.Incarnation{Worker: "next", StartMillis: 2}, Address: "w", Service: "register"}}})
	h.handle(dispatch.PredecessorResigned{Sole: true})
	h.advance(20 * time.Millisecond)
	h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.WrongWorker})
	is.True(slices.ContainsFunc(h.appendedRecords(), func(r *ledgerpb.Record) bool {
		return r.Crashed != nil && r.Crashed.Worker == "w" && len(r.Crashed.Suspects) == 1
	}))
}

// Guards against a successor that stops the runs of its predecessor, because it asks a
// worker for them before it has read the list.
func TestInheritedRunIsResumedOnceTheListIsRead(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: "old", Queue: "q", Steps: []workload.Step{plainStep}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
	}))
	run := workload.RunID{Task: workload.TaskID{Submission: "old"}, Run: 1}
	h.ledger.Apply(ledger.PlacedRecord(run, workload.Incarnation{Worker: "w", StartMillis: 1}, "w"))
	h.machine = dispatch.New(dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2, PredecessorExpiry: time.Minute}, h.ledger, h.now, time.Now())
	h.advance(300 * time.Millisecond)
	is.Equal(h.count(func(a dispatch.Action) bool { _, ok := a.(dispatch.Heartbeat); return ok }), 0)
	h.listWorker(workload.Worker{})
	h.advance(300 * time.Millisecond)
	h.report()
	is.Equal(h.count(stopOf("old")), 0)
	is.Equal(h.count(startOf("old")), 1)
}

// Guards against giving up healthy tasks whose workers crash, or are only silent, while
// planned hand-overs in series keep any owner from seeing much of it.
func TestHealthyTasksOutlastCrashesAndSilenceOverHandOvers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 12)
			s.crashes.newIDs, s.crashes.reset = true, seed%2 == 0
			s.crashes.downTime = time.Duration(1+seed%8) * time.Second
			s.submitOften(60)
			for range 30 {
				s.after(time.Duration(s.random.IntN(20000))*time.Millisecond, func() {
					if w := s.workers[fmt.Sprintf("w%d", s.random.IntN(12))]; w.Up {
						s.crash(w)
					}
				})
			}
			for range 10 {
				s.after(time.Duration(s.random.IntN(20000))*time.Millisecond, func() {
					w := s.workers[fmt.Sprintf("w%d", s.random.IntN(12))]
					w.Partitioned = true
					s.after(time.Duration(500+s.random.IntN(8000))*time.Millisecond, func() { w.Partitioned = false })
				})
			}
			s.handOverOften(30 * time.Second)
			s.run(s.now + 120*time.Second)
			s.expectCompleted(60)
		})
	}
}

// Guards against giving up healthy tasks whose workers crash together, again and again, in
// epochs that are too short to show that they went together.
func TestHealthyTasksOutlastCrashesOfARackOverHandOvers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 12)
			s.crashes.newIDs, s.crashes.reset = true, seed%2 == 0
			s.submitOften(60)
			for i := range 5 {
				s.after(time.Duration(1500+4000*i+s.random.IntN(1000))*time.Millisecond, func() {
					for k := range 6 {
						if w := s.workers[fmt.Sprintf("w%d", k)]; w.Up {
							s.crash(w)
						}
					}
				})
			}
			s.handOverOften(30 * time.Second)
			s.run(s.now + 120*time.Second)
			s.expectCompleted(60)
		})
	}
}

// Guards against evidence against a task whose worker only did not answer for longer than
// its lease, over hand-overs in series.
func TestSilentWorkerIsNoCrashOverHandOvers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 4)
			s.crashes.newIDs = true
			s.submitOften(30)
			for i := range 8 {
				w := s.workers[fmt.Sprintf("w%d", i%4)]
				at := time.Duration(1000+3000*i) * time.Millisecond
				s.after(at, func() { w.Partitioned = true })
				s.after(at+time.Duration(1+i)*time.Second, func() { w.Partitioned = false })
			}
			s.handOverOften(40 * time.Second)
			s.run(s.now + 120*time.Second)
			s.expectCompleted(30)
			for _, r := range s.log {
				if r.Crashed != nil && r.Crashed.Evidence > 0 {
					t.Errorf("a crash is evidence against %v", r.Crashed.Suspects)
				}
			}
		})
	}
}

// Guards against a crash without a suspect, because a repeated start or a stop, and not a
// heartbeat, finds the worker that has replaced the crashed one.
func TestCrashFoundByACommandHasItsSuspect(t *testing.T) {
	run := workload.RunID{Task: workload.TaskID{Submission: "deadly"}, Run: 1}
	for name, find := range map[string]func(h *harness){
		"start": func(h *harness) {
			h.startAnswer = dispatch.NoAnswer
			h.submit("deadly", plainStep)
			h.advance(20 * time.Millisecond)
			h.handle(dispatch.StartAnswered{Worker: "w", Run: run, Answer: dispatch.WrongWorker})
		},
		"stop": func(h *harness) {
			h.submit("deadly", plainStep)
			clear(h.active)
			h.advance(20 * time.Millisecond)
			h.report()
			if h.count(stopOf("deadly")) != 1 {
				t.Fatal("the run was not stopped")
			}
			h.handle(dispatch.StopAnswered{Worker: "w", Run: run, Answer: dispatch.WrongWorker})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.report()
			find(h)
			h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.WrongWorker})
			found := slices.ContainsFunc(h.appendedRecords(), func(r *ledgerpb.Record) bool {
				return r.Crashed != nil && r.Crashed.Suspects[0].Run == run.Run
			})
			if !found {
				t.Error("no suspect was recorded")
			}
		})
	}
}

// Guards against a successor that suspects, and starts in isolation, runs which its
// predecessor had seen survive: after the loss of a data centre these are hundreds.
func TestSuccessorSuspectsNoRunThatHadSurvived(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("old", plainStep)
	h.report()
	h.advance(400 * time.Millisecond)
	h.report()
	h.submit("new", plainStep)
	restored := ledger.New()
	restored.ApplySnapshot(h.ledger.Snapshot(ledger.Offsets{}))
	h.machine = dispatch.New(dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2, PredecessorExpiry: time.Minute}, restored, h.now, time.Now())
	h.handle(dispatch.WorkersListed{})
	h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.WrongWorker})
	var suspects []string
	for _, r := range h.appendedRecords() {
		for _, s := range r.GetCrashed().GetSuspects() {
			suspects = append(suspects, s.Task.Submission)
		}
	}
	is.Equal(suspects, []string{"new"})
}
