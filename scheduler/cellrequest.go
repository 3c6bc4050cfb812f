package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// cellRequest describes the task that a cell is chosen for.
type cellRequest struct {
	job     string
	service bool
	urgent  bool
	// preempt is set when the task may preempt ordinary work.
	preempt bool
	need    hostapi.Resources
}
