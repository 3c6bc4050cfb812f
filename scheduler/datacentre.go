package scheduler

import "time"

// Phase is the state of a data centre for the policy.
type Phase int

// Phases of a data centre.
const (
	// InService data centres take new work.
	InService Phase = iota
	// Draining data centres take no new work and must be empty at the deadline.
	Draining
	// OutOfService data centres take no new work and hold none.
	OutOfService
	// Returning data centres take new work at a growing rate.
	Returning
)

// DataCentre is the state of the cell's data centre.
type DataCentre struct {
	Phase Phase
	// Since is when the phase began, on the owner's clock.
	Since time.Duration
	// Deadline is when a draining data centre must be empty.
	Deadline time.Duration
}
