package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// Placement assigns a pending task to a worker.
type Placement struct {
	Task    string
	Attempt int64
	Worker  string
	// Boot is the boot id of the worker when the plan was made.
	Boot string
	// Requests is the amount to assign; it can differ from the declared one.
	Requests hostapi.Resources
	// Probe is set when the task tests a quarantined worker.
	Probe bool
	// Reason is the text for the task's condition.
	Reason string
}
