package scheduler

import "github.com/cactusreel/cactusreel/scheduler/retry"

// jobVersionState is what was learned about one version of a job.
type jobVersionState struct {
	retries *retry.Budget
}
