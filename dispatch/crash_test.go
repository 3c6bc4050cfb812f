package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a task that crashes worker after worker, and against giving up the
// tasks that shared these workers.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
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
