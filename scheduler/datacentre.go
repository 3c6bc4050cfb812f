package scheduler

import "time"

// Phase is the service state of a data centre.
type Phase int

// Phases of a data centre.
const (
	// InService data centres take new work.
	InService Phase = iota
	// Draining data centres take no new work and must be empty at the deadline.
	Draining
	// OutOfService data centres take no new work and run none.
	OutOfService
	// Returning data centres are back in service with a load limit that grows
	// with time.
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
