package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// cellRequest is what a cell is chosen for.
type cellRequest struct {
	job     string
	service bool
	urgent  bool
	// preempt is set when the task may take the room of ordinary work.
	preempt bool
	need    hostapi.Resources
}
