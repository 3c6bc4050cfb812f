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
// often than five times and its delays allow.
func TestTaskThatCrashesItsOnlyWorkerIsDelayed(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSim(t, seed, 1)
			s.crashes.crashes = func(workload.TaskID) bool { return true }
			submission := simSubmission("deadly", 1)
			submission.Steps = submission.Steps[:1]
			s.appendIntake(ledger.SubmittedRecord(submission))
			s.run(s.now + 60*time.Second)
			s.expectDelayed("deadly")
		})
	}
}

// Guards against a submission that is shown as failed, or not started again, after three workers have
// crashed just after its starts: no run of it has failed.
func TestSubmissionOutlastsCrashesOfItsWorkers(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSim(t, seed, 8)
			crashes := 0
			s.crashes.crashes = func(workload.TaskID) bool {
				crashes++
				return crashes <= 3
			}
			s.crashes.crashDelay = 50 * time.Millisecond
			submission := simSubmission("s", 1)
			submission.Steps, submission.Policy.MaxAttempts = submission.Steps[:1], 4
			s.appendIntake(ledger.SubmittedRecord(submission))
			s.run(s.now + 30*time.Second)
			s.expectState("s", workload.Completed)
		})
	}
}

// Guards against a task that crashes more workers an hour than the bound: 18 in the first hour, 6 in
// each later one, and one more for each takeover. It must be started all the same: it may be healthy.
func TestCrashesAnHourOfATaskThatCrashesItsWorkersAreBounded(t *testing.T) {
	t.Parallel()
	const takeovers = 8 // an hour
	for _, c := range []struct {
		workers   int
		takenOver bool
	}{{1, false}, {4, false}, {12, false}, {12, true}} {
		t.Run(fmt.Sprintf("%d workers, taken over %v", c.workers, c.takenOver), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, 0, c.workers)
			s.crashes.crashes = func(workload.TaskID) bool { return true }
			submission := simSubmission("deadly", 1)
			submission.Steps = submission.Steps[:1]
			began := s.now
			s.appendIntake(ledger.SubmittedRecord(submission))
			more := 0
			for n := range 2 * takeovers {
				if c.takenOver {
					s.after(time.Duration(2*n+1)*time.Hour/(2*takeovers), func() { s.openEpoch() })
					more = takeovers
				}
			}
			s.run(began + 2*time.Hour)
			s.expectDelayed("deadly")
			s.expectIsolated()
			first, second := 0, 0
			for _, crashes := range s.crashes.at {
				for _, at := range crashes {
					if at < began+time.Hour {
						first++
					} else {
						second++
					}
				}
			}
			t.Logf("%d crashes in the first hour, %d in the second one", first, second)
			if first > 18+more || second > 6+more || second < 5 {
				t.Errorf("%d crashes in the first hour, %d in the second one", first, second)
			}
		})
	}
}
