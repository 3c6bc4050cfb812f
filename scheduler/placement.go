package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// Placement assigns a pending task to a worker.
type Placement struct {
	Task    string
	Attempt int64
	Worker  string
	// Boot is the boot id of the worker that the plan was made for.
	Boot string
	// Requests is the amount to assign; it can differ from the declared one.
	Requests hostapi.Resources
	// Probe is set when the task tests a quarantined worker.
	Probe bool
	// Reason is fit for a condition.
	Reason string
}
