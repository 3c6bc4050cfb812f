package dispatch

// The CPU that tasks with a latency target leave unused follows their load, which swings by half within seconds.
// Best-effort runs that count on the mean share one worker's CPU with tasks at their peak, and push them over
// their targets together although none of them interferes alone, while other workers have CPU to spare.

// unusedCPU returns the part of the request of a run with a latency target that its own load leaves unused, in
// thousandths of a core. Until its load is known, that is meanCPUUse of the request.
func (r *run) unusedCPU() float64 {
	use := meanCPUUse
	if r.ownUtilisationAt > 0 {
		use = min(1, r.ownUtilisation)
	}
	return (1 - use) * float64(reservation(r.step).MilliCPU)
}
