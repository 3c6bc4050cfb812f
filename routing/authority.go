package routing

import "time"

// Authority is this VM's permission to use the workers of a cell under one
// term. All times are on this VM's monotonic clock.
type Authority struct {
	// Term is the log offset of the claim; it is sent to backend servers.
	Term int64
	// State is the owner state when the authority was set.
	State OwnerState
	// FullUntil is the end of the lease (Held) or of the promises (Vouched).
	// From then on the state is Reduced, even if no later authority has been
	// set, so a process that was paused never uses an expired lease.
	FullUntil time.Duration
	// UsableFrom is the end of a successor's waiting period.
	UsableFrom time.Duration
	// Predecessors is the number of replaced owners that are not known to
	// be gone.
	Predecessors int
}

// StateAt returns the owner state at a time.
func (a Authority) StateAt(now time.Duration) OwnerState {
	if (a.State == Held || a.State == Vouched) && now >= a.FullUntil {
		return Reduced
	}
	return a.State
}

// SlotsAt returns how many slots may be in use on a worker that has total slots.
func (a Authority) SlotsAt(now time.Duration, total int) int {
	if now < a.UsableFrom {
		return 0
	}
	return SlotsPerWorker(a.StateAt(now), total, a.Predecessors)
}
