package scheduler

import "github.com/cactusreel/cactusreel/scheduler/retry"

// jobKnowledge is what was learned of one version of a job.
type jobKnowledge struct {
	retries *retry.Budget
}
