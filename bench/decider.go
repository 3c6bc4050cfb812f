package bench

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
)

// Decider makes the scheduling decisions of one cell. The policy and the
// baselines implement it. Times are virtual times since the start of the run.
type Decider interface {
	Place(now time.Duration, s *scheduler.Snapshot, pending []scheduler.Task) scheduler.Plan
	Act(now time.Duration, s *scheduler.Snapshot) []scheduler.Action
	ObserveUsage(now time.Duration, w *scheduler.Worker, reports []hostapi.Usage)
	ObserveOutcome(now time.Duration, o scheduler.Outcome)
	ForgetJob(job string)
}
