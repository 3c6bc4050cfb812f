package interference

import "time"

// Estimate is the estimated slowdown of one pair of kinds in one load bucket.
type Estimate struct {
	// Mean is the natural logarithm of the slowdown that one task of the
	// aggressor's kind adds.
	Mean float64
	// Variance is the uncertainty of Mean.
	Variance float64
	// Reports is the number of usage reports that the estimate is based on.
	Reports int
	// at is the time of the last change.
	at time.Duration
}

// aged returns the estimate as of now. Its variance grows with time up to that of
// the prior, because load and task versions change.
func (e Estimate) aged(now time.Duration) Estimate {
	if now > e.at {
		e.Variance = min(priorVariance, e.Variance+varianceGrowth*(now-e.at).Seconds())
		e.at = now
	}
	return e
}
