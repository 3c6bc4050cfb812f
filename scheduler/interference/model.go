package interference

import (
	"math"
	"slices"
	"time"
)

const (
	// loadBuckets is the number of load buckets. Slowdown depends on load, but
	// reports are too few for a finer division.
	loadBuckets = 4
	// priorMean is the expected log slowdown of a pair without reports.
	priorMean = 0.03
	// priorVariance is the variance of that log slowdown: a standard deviation of
	// 0.2.
	priorVariance = 0.04
	// reportVariance is the variance of the noise in one report's log slowdown.
	reportVariance = 0.02
	// varianceGrowth is the growth of the variance per second. It takes a pair
	// without new reports back to the variance of the prior in about an hour.
	varianceGrowth = priorVariance / 3600
	// maxMean is the upper bound of an estimated log slowdown: a slowdown of about
	// 7.
	maxMean = 2
)

// Model holds the estimates of all pairs. It models the log slowdown of a task as
// the sum over the colocated tasks. Each report updates all pairs that it names in
// proportion to their variance, as in a Kalman filter.
type Model struct {
	kinds map[string]int
	pairs map[pair]Estimate
}

// New returns a model without reports.
func New() *Model {
	return &Model{kinds: map[string]int{}, pairs: map[pair]Estimate{}}
}

// kindID returns the number that stands for a kind, and assigns one to a new kind.
func (m *Model) kindID(name string) int32 {
	id, known := m.kinds[name]
	if !known {
		id = len(m.kinds)
		m.kinds[name] = id
	}
	return int32(id)
}

// bucketOf returns the load bucket of a load from 0 to 1.
func bucketOf(load float64) int32 {
	return int32(min(max(load, 0)*loadBuckets, loadBuckets-1))
}

// Observe takes a report: a task of kind victim ran slowdown times slower than
// alone, beside tasks of the colocated kinds and at the given load. The colocated
// kinds must be those at the time of the measurement.
func (m *Model) Observe(now time.Duration, victim string, colocated []string, load, slowdown float64) {
	if slowdown <= 0 || len(colocated) == 0 {
		return
	}
	reported := m.countPairs(victim, colocated, load)
	predicted, variance := 0.0, reportVariance
	for i := range reported {
		c := &reported[i]
		c.estimate = m.lookup(now, c.pair)
		predicted += c.n * c.estimate.Mean
		variance += c.n * c.n * c.estimate.Variance
	}
	residual := math.Log(slowdown) - predicted
	for i := range reported {
		c := &reported[i]
		gain := c.n * c.estimate.Variance / variance
		c.estimate.Mean = min(max(c.estimate.Mean+gain*residual, 0), maxMean)
		c.estimate.Variance *= 1 - gain*c.n
		c.estimate.Reports++
		m.pairs[c.pair] = c.estimate
	}
}

// countPairs returns the pairs of a report with their counts, in the order in which
// they first appear, so that floating-point sums over them are reproducible.
func (m *Model) countPairs(victim string, colocated []string, load float64) []reportedPair {
	v, b := m.kindID(victim), bucketOf(load)
	var reported []reportedPair
	for _, name := range colocated {
		key := pair{v, m.kindID(name), b}
		at := slices.IndexFunc(reported, func(c reportedPair) bool { return c.pair == key })
		if at < 0 {
			at = len(reported)
			reported = append(reported, reportedPair{pair: key})
		}
		reported[at].n++
	}
	return reported
}

// Estimate returns the log slowdown that one more task of kind aggressor adds to a
// task of kind victim at the given load, with its variance.
func (m *Model) Estimate(now time.Duration, victim, aggressor string, load float64) Estimate {
	v, victimKnown := m.kinds[victim]
	a, aggressorKnown := m.kinds[aggressor]
	if !victimKnown || !aggressorKnown {
		return Estimate{Mean: priorMean, Variance: priorVariance, at: now}
	}
	return m.lookup(now, pair{int32(v), int32(a), bucketOf(load)})
}

// lookup returns the estimate of a pair in a load bucket. A bucket without reports
// takes the mean of the nearest bucket with reports, and the variance of the
// prior.
func (m *Model) lookup(now time.Duration, key pair) Estimate {
	if e, known := m.pairs[key]; known {
		return e.aged(now)
	}
	for distance := int32(1); distance < loadBuckets; distance++ {
		for _, b := range [2]int32{key.bucket - distance, key.bucket + distance} {
			if e, known := m.pairs[pair{key.victim, key.aggressor, b}]; known {
				return Estimate{Mean: e.Mean, Variance: priorVariance, at: now}
			}
		}
	}
	return Estimate{Mean: priorMean, Variance: priorVariance, at: now}
}
