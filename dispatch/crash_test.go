package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a task that crashes worker after worker, and against giving up the
// tasks that shared these workers.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 12)
			s.crashes.crashes = func(id workload.TaskID) bool {
				return len(id.Submission) > 6 && id.Submission[:6] == "deadly" && id.Step == 0 && id.Index == 0
			}
			for i := range 20 {
				s.after(time.Duration(s.random.IntN(10000))*time.Millisecond, func() {
					s.appendIntake(ledger.SubmittedRecord(simSubmission(fmt.Sprintf("s%d", i), 1+s.random.IntN(6))))
				})
			}
			for i := range 3 {
				s.after(time.Duration(s.random.IntN(5000))*time.Millisecond, func() {
					s.appendIntake(ledger.SubmittedRecord(simSubmission(fmt.Sprintf("deadly%d", i), 1+s.random.IntN(6))))
				})
			}
			s.run(s.now + 60*time.Second)
			for i := range 20 {
				s.expectState(fmt.Sprintf("s%d", i), workload.Completed)
			}
			for i := range 3 {
				s.expectState(fmt.Sprintf("deadly%d", i), workload.Failed)
			}
			for id, n := range s.crashes.workers {
				if n < 2 {
					t.Errorf("%v was given up after %d crashes", id, n)
				}
			}
		})
	}
}

// expectState fails the test if the owner shows a submission in another state.
func (s *sim) expectState(id string, state workload.State) {
	s.t.Helper()
	e := s.owner().ledger.Find(id)
	if e == nil {
		s.t.Fatalf("%s is not known", id)
	}
	if e.State() != state {
		s.t.Errorf("%s is %v, not %v", id, e.State(), state)
	}
}

// Guards against a count of crashes that a takeover forgets.
func TestTaskThatCrashesItsWorkersIsGivenUpDespiteTakeovers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 12)
			s.crashes.crashes = func(id workload.TaskID) bool { return id.Submission == "deadly" && id.Index == 0 }
			for i := range 20 {
				s.after(time.Duration(s.random.IntN(10000))*time.Millisecond, func() {
					s.appendIntake(ledger.SubmittedRecord(simSubmission(fmt.Sprintf("s%d", i), 1+s.random.IntN(6))))
				})
			}
			s.after(2*time.Second, func() { s.appendIntake(ledger.SubmittedRecord(simSubmission("deadly", 4))) })
			for i := range 3 {
				s.after(time.Duration(2000+5000*i+s.random.IntN(5000))*time.Millisecond, func() { s.openEpoch() })
			}
			s.run(s.now + 90*time.Second)
			for i := range 20 {
				s.expectState(fmt.Sprintf("s%d", i), workload.Completed)
			}
			s.expectState("deadly", workload.Failed)
		})
	}
}

// Guards against giving up healthy tasks because the workers of a rack crash again and
// again while many tasks are being started there.
func TestHealthyTasksOutlastCrashesOfARack(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 12)
			s.submitOften(60)
			for i := range 4 {
				s.after(time.Duration(1500+4500*i+s.random.IntN(1000))*time.Millisecond, func() {
					for k := range 6 {
						s.crash(s.workers[fmt.Sprintf("w%d", k)])
					}
				})
			}
			s.run(s.now + 90*time.Second)
			s.expectCompleted(60)
		})
	}
}

// Guards against giving up healthy tasks because single workers crash at any time.
func TestHealthyTasksOutlastCrashesOfSingleWorkers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 12)
			s.submitOften(60)
			for range 40 {
				s.after(time.Duration(s.random.IntN(20000))*time.Millisecond, func() {
					if w := s.workers[fmt.Sprintf("w%d", s.random.IntN(12))]; w.Up {
						s.crash(w)
					}
				})
			}
			s.run(s.now + 90*time.Second)
			s.expectCompleted(60)
		})
	}
}

// Guards against counting a worker that was only cut off as crashed.
func TestSilentWorkerIsNoCrash(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 4)
			s.submitOften(30)
			for i := range 4 {
				w := s.workers[fmt.Sprintf("w%d", i)]
				at := time.Duration(1000+5000*i) * time.Millisecond
				s.after(at, func() { w.Partitioned = true })
				s.after(at+time.Duration(1+i*3)*time.Second, func() { w.Partitioned = false })
			}
			s.run(s.now + 60*time.Second)
			s.expectCompleted(30)
			for _, r := range s.log {
				if r.Crashed != nil && r.Crashed.Evidence > 0 {
					t.Errorf("a crash is evidence against %v", r.Crashed.Suspects)
				}
			}
		})
	}
}

// Guards against a gang, or a long-running task, that crashes its workers without end.
func TestGangAndLongRunningTaskThatCrashWorkersAreGivenUp(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			cells := newSimCells(t, seed, 12)
			s := cells.cells[0]
			s.crashes = newSimCrashes()
			s.crashes.crashes = func(id workload.TaskID) bool {
				return id.Index == 1 && (id.Submission == "deadly-gang" || id.Submission == "deadly-long")
			}
			gang := simSubmission("deadly-gang", 4)
			gang.Steps[0].Gang, gang.Steps[0].MaxPerWorker = true, int(1+seed%2)
			s.after(3*time.Second, func() {
				cells.home["deadly-gang"] = s
				s.appendIntake(ledger.SubmittedRecord(gang))
				cells.submit(s, "deadly-long", 3)
				cells.submit(s, "long", 3)
			})
			cells.run(cells.now + 60*time.Second)
			s.expectState("deadly-gang", workload.Failed)
			s.expectState("deadly-long", workload.Failed)
			s.expectState("long", workload.Running)
		})
	}
}

// submitOften submits a number of submissions, s0 and so on, in 20 s.
func (s *sim) submitOften(n int) {
	for i := range n {
		s.after(time.Duration(s.random.IntN(20000))*time.Millisecond, func() {
			s.appendIntake(ledger.SubmittedRecord(simSubmission(fmt.Sprintf("s%d", i), 1+s.random.IntN(6))))
		})
	}
}

// expectCompleted fails the test if a submission of submitOften has not completed.
func (s *sim) expectCompleted(n int) {
	s.t.Helper()
	for i := range n {
		s.expectState(fmt.Sprintf("s%d", i), workload.Completed)
	}
}

// Guards against taking a worker that has announced its shutdown for one that crashed,
// and against a crash that goes unnoticed because the next worker has another id.
func TestLeavingWorkerIsNoCrash(t *testing.T) {
	for _, draining := range []bool{false, true} {
		h := newHarness(t)
		h.report()
		h.submit("early", plainStep)
		h.listWorker(workload.Worker{Draining: draining})
		h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.WrongWorker})
		crashed := slices.ContainsFunc(h.appendedRecords(), func(r *ledgerpb.Record) bool { return r.Crashed != nil })
		if crashed == draining {
			t.Errorf("draining %v, crash recorded %v", draining, crashed)
		}
	}
}
