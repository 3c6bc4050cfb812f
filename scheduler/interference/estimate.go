package interference

import "time"

// Estimate is what is known of one pair in one load bucket.
type Estimate struct {
	// Mean is the natural logarithm of the slowdown that one task of the
	// aggressor's kind adds.
	Mean float64
	// Variance is the uncertainty of Mean.
	Variance float64
	// Reports counts the usage reports that shaped the estimate.
	Reports int
	// at is the time of the last change.
	at time.Duration
}

// aged returns the estimate as it stands at now. Its variance grows with time
// up to the prior's, because load and versions of tasks change.
func (e Estimate) aged(now time.Duration) Estimate {
	if now > e.at {
		e.Variance = min(priorVariance, e.Variance+varianceGrowth*(now-e.at).Seconds())
		e.at = now
	}
	return e
}
