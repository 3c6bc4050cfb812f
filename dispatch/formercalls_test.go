package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/dispatch/dispatchtest"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// listRestarted lists the second incarnation of worker w, and another worker.
func (h *harness) listRestarted() {
	h.listIncarnations(workload.Incarnation{Worker: "w", StartMillis: 2}, workload.Incarnation{Worker: "v", StartMillis: 1})
}

func (h *harness) listIncarnations(incarnations ...workload.Incarnation) {
	var list []workload.Worker
	for _, incarnation := range incarnations {
		list = append(list, workload.Worker{
			Incarnation: incarnation, Service: "register", Address: incarnation.Worker, DataCentre: "giza", Rack: "r1-1",
			Capacity: hostapi.Resources{MilliCPU: 64000, MemoryMiB: 1 << 20},
		})
	}
	h.handle(dispatch.WorkersListed{Workers: list})
}

// reportOnEndedConnection answers a heartbeat of a worker that ends its connections.
func (h *harness) reportOnEndedConnection() {
	h.handle(dispatch.HeartbeatAnswered{Worker: "w", SentAt: h.now, Report: workload.Report{
		Incarnation: workload.Incarnation{Worker: "w", StartMillis: 1}, Clock: h.now, ConnectionEnded: true,
	}})
}

// passWithoutRestarted lets time pass in which the restarted worker answers no heartbeat and the
// other one does.
func (h *harness) passWithoutRestarted() {
	h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.NoAnswer})
	h.handle(dispatch.HeartbeatAnswered{Worker: "v", SentAt: h.now, Report: workload.Report{
		Incarnation: workload.Incarnation{Worker: "v", StartMillis: 1}, Clock: h.now,
	}})
	h.advance(100 * time.Millisecond)
}

// Guards against a second run of a task whose first one a restarted worker has that ends its
// connections: a start that was meant for its former incarnation, and has no answer, may be carried
// out by the next one, where its deadline, by the former clock, grants the longest lease. A heartbeat
// that fails says nothing of it.
func TestRunOfARestartedWorkerIsNotLostBeforeItsLease(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.reportOnEndedConnection()
	run := h.submitUnanswered("s", plainStep)
	h.advance(400 * time.Millisecond)
	h.listRestarted()
	restarted := h.now
	h.handle(dispatch.StartAnswered{Worker: "w", Run: run, Answer: dispatch.NoAnswer})
	for h.now < restarted+simLease {
		h.passWithoutRestarted()
		is.Equal(h.count(startOf("s")), 1)
	}
	for h.now < restarted+dispatch.LeaseExpiryBound(simLease)+time.Second {
		h.passWithoutRestarted()
	}
	is.Equal(h.count(startOf("s")), 2)
}

// Guards against two runs of a task at a time because a restarted worker that ends its connections
// carries out starts and heartbeats that were meant for its former incarnation, and is then silent
// for a while.
func TestSchedulesOfWorkersThatTakeCallsOfTheirFormerIncarnation(t *testing.T) {
	t.Parallel()
	for seed := range uint64(160) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 6)
			s.crashes.takesFormerCalls = true
			for _, w := range s.workers {
				w.LeaseLimit = simLease
			}
			for i := range 30 {
				s.after(time.Duration(s.random.IntN(20000))*time.Millisecond, func() {
					s.appendIntake(ledger.SubmittedRecord(simSubmission(fmt.Sprintf("s%d", i), 1+s.random.IntN(6))))
				})
			}
			for range 8 {
				w := s.workers[fmt.Sprintf("w%d", s.random.IntN(len(s.workers)))]
				s.after(time.Duration(s.random.IntN(20000))*time.Millisecond, func() { s.restartThenCut(w) })
			}
			s.after(26*time.Second, s.endFaults)
			s.run(s.now + 60*time.Second)
			for i := range 30 {
				if e := s.owner().ledger.Find(fmt.Sprintf("s%d", i)); e == nil || e.State() != workload.Completed {
					t.Fatalf("s%d has not completed", i)
				}
			}
		})
	}
}

// restartThenCut restarts a worker under its id, and cuts it off soon after.
func (s *sim) restartThenCut(w *dispatchtest.Worker) {
	w.Up = false
	for run := range w.Runs {
		s.crashes.workers[run.Task]++
	}
	down := time.Duration(100+s.random.IntN(800)) * time.Millisecond
	s.after(down, func() { s.reboot(w) })
	s.after(down+time.Duration(s.random.IntN(1000))*time.Millisecond, func() { w.Partitioned = true })
	s.after(down+time.Duration(1000+s.random.IntN(8000))*time.Millisecond, func() { w.Partitioned = false })
}

// Guards against a restarted worker that counts as silent because a heartbeat to its former
// incarnation had no answer.
func TestSilenceOfTheFormerIncarnationIsNotThatOfTheNextOne(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("s", plainStep)
	h.advance(400 * time.Millisecond)
	suspected := func(a dispatch.Action) bool {
		d, ok := a.(dispatch.Decision)
		return ok && d.Kind == dispatch.WorkerSuspected
	}
	is.True(h.count(isHeartbeat) > 0) // it has no answer yet
	h.listRestarted()
	h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.NoAnswer})
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(suspected), 0)
	h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.NoAnswer})
	is.Equal(h.count(suspected), 1)
}

// Guards against placements on a worker whose next incarnation answers, each of them refused, until
// the owner knows that one.
func TestWorkerWhoseNextIncarnationAnswersGetsNoRuns(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.startAnswer = dispatch.WrongWorker
	h.submit("s", plainStep)
	for range 10 {
		h.advance(20 * time.Millisecond)
	}
	is.Equal(h.count(startOf("s")), 1)
	h.startAnswer = dispatch.Done
	h.listRestarted()
	h.handle(dispatch.HeartbeatAnswered{Worker: "w", SentAt: h.now, Report: workload.Report{Incarnation: workload.Incarnation{Worker: "w", StartMillis: 2}, Clock: h.now}})
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(startOf("s")), 2)
}

// Guards against a second run of a task whose start may be carried out by the incarnation after the
// next one: the run was being stopped on the next one when that one ended.
func TestRunThatIsBeingStoppedOutlastsASecondRestart(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.reportOnEndedConnection()
	run := h.submitUnanswered("s", plainStep)
	h.advance(100 * time.Millisecond)
	h.listRestarted()
	h.passWithoutRestarted()
	third := workload.Incarnation{Worker: "w", StartMillis: 3}
	h.handle(dispatch.HeartbeatAnswered{Worker: "w", SentAt: h.now, Report: workload.Report{
		Incarnation: third, Clock: h.now, Active: []workload.ActiveRun{{RunID: run}},
	}})
	h.passWithoutRestarted()
	is.Equal(h.count(startOf("s")), 1)
	is.True(h.count(stopOf("s")) >= 2) // at the second and at the third incarnation
}

// Guards against an owner that goes on placing and repeating starts on a worker whose next incarnation
// has answered one.
func TestIncarnationThatAnswersAStartIsKnown(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	run := h.submitUnanswered("s", plainStep)
	h.handle(dispatch.StartAnswered{Worker: "w", Run: run, Answer: dispatch.NoAnswer})
	restarted := func(a dispatch.Action) bool {
		d, ok := a.(dispatch.Decision)
		return ok && d.Kind == dispatch.WorkerRestarted
	}
	h.withholdsStarts = true
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(startOf("s")), 2)
	h.handle(dispatch.StartAnswered{Worker: "w", Run: run, Answer: dispatch.WrongWorker, Found: workload.Incarnation{Worker: "w", StartMillis: 2}})
	is.Equal(h.count(restarted), 1)
	for range 10 {
		h.advance(20 * time.Millisecond)
	}
	is.Equal(h.count(startOf("s")), 2)
	is.True(h.count(stopOf("s")) > 0) // the first copy may have reached the new incarnation
}
