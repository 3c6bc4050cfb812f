package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against giving up a healthy task because the only worker that can run it crashes again and
// again by itself, some tenths of a second after each start.
func TestHealthyTaskOutlastsRepeatedCrashesOfItsOnlyWorker(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSim(t, seed, 1)
			crashes := 0
			s.crashes.crashes = func(workload.TaskID) bool {
				crashes++
				return crashes <= 4
			}
			s.crashes.crashDelay, s.crashes.downTime = 200*time.Millisecond, 700*time.Millisecond
			submission := simSubmission("s", 1)
			submission.Steps = submission.Steps[:1]
			submission.Steps[0].Estimate = 3 * time.Second
			s.appendIntake(ledger.SubmittedRecord(submission))
			s.run(s.now + 60*time.Second)
			s.expectState("s", workload.Completed)
		})
	}
}

// Guards against a task that crashes the only worker that can run it, and is started there more
// often than the bound of five starts allows.
func TestTaskThatCrashesItsOnlyWorkerIsGivenUp(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSim(t, seed, 1)
			starts := 0
			s.crashes.crashes = func(workload.TaskID) bool {
				starts++
				return true
			}
			submission := simSubmission("deadly", 1)
			submission.Steps = submission.Steps[:1]
			s.appendIntake(ledger.SubmittedRecord(submission))
			s.run(s.now + 60*time.Second)
			s.expectState("deadly", workload.Failed)
			if starts > 5 {
				t.Errorf("started %d times", starts)
			}
		})
	}
}
