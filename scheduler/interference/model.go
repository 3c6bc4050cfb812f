package interference

import (
	"math"
	"slices"
	"time"
)

const (
	// buckets is the number of load buckets. Slowdown depends on load, and
	// reports are too few for a finer division.
	buckets = 4
	// priorMean is the log slowdown expected of an unknown pair.
	priorMean = 0.03
	// priorVariance is that of an unknown pair: a standard deviation of 0.2.
	priorVariance = 0.04
	// reportVariance is the noise of one report's log slowdown.
	reportVariance = 0.02
	// varianceGrowth per second turns a well-known pair into an unknown one in
	// about an hour without reports.
	varianceGrowth = priorVariance / 3600
	// maxMean bounds an estimate; it is a slowdown of 7.
	maxMean = 2
)

// Model holds the estimates. The log slowdown of a task is taken as the sum
// over the tasks beside it; each report updates all pairs that it names in
// proportion to their uncertainty.
type Model struct {
	kinds map[string]int
	pairs map[pair]Estimate
}

// New returns a model that knows no pair.
func New() *Model {
	return &Model{kinds: map[string]int{}, pairs: map[pair]Estimate{}}
}

// kind returns the number of a kind.
func (m *Model) kind(name string) int32 {
	id, known := m.kinds[name]
	if !known {
		id = len(m.kinds)
		m.kinds[name] = id
	}
	return int32(id)
}

// bucketOf returns the bucket of a load from 0 to 1.
func bucketOf(load float64) int32 {
	return int32(min(max(load, 0)*buckets, buckets-1))
}

// Observe takes a report: a task of kind victim ran slowdown times slower than
// alone beside tasks of the given kinds at the given load. Colocated kinds
// belong to the time of measurement.
func (m *Model) Observe(now time.Duration, victim string, colocated []string, load, slowdown float64) {
	if slowdown <= 0 || len(colocated) == 0 {
		return
	}
	beside := m.count(victim, colocated, load)
	predicted, uncertainty := 0.0, reportVariance
	for i := range beside {
		c := &beside[i]
		c.known = m.lookup(now, c.pair)
		predicted += c.n * c.known.Mean
		uncertainty += c.n * c.n * c.known.Variance
	}
	miss := math.Log(slowdown) - predicted
	for i := range beside {
		c := &beside[i]
		gain := c.n * c.known.Variance / uncertainty
		c.known.Mean = min(max(c.known.Mean+gain*miss, 0), maxMean)
		c.known.Variance *= 1 - gain*c.n
		c.known.Reports++
		m.pairs[c.pair] = c.known
	}
}

// count returns the pairs of a report in the order in which they first appear,
// so that sums over them are the same on every run.
func (m *Model) count(victim string, colocated []string, load float64) []colocation {
	v, b := m.kind(victim), bucketOf(load)
	var beside []colocation
	for _, name := range colocated {
		key := pair{v, m.kind(name), b}
		at := slices.IndexFunc(beside, func(c colocation) bool { return c.pair == key })
		if at < 0 {
			at = len(beside)
			beside = append(beside, colocation{pair: key})
		}
		beside[at].n++
	}
	return beside
}

// Estimate returns the log slowdown that one more task of kind aggressor adds
// to a task of kind victim at the given load, with its uncertainty.
func (m *Model) Estimate(now time.Duration, victim, aggressor string, load float64) Estimate {
	v, known := m.kinds[victim]
	a, alsoKnown := m.kinds[aggressor]
	if !known || !alsoKnown {
		return Estimate{Mean: priorMean, Variance: priorVariance, at: now}
	}
	return m.lookup(now, pair{int32(v), int32(a), bucketOf(load)})
}

// lookup returns the estimate of a pair. A bucket without reports takes the
// mean of the nearest bucket with reports, with the uncertainty of the prior.
func (m *Model) lookup(now time.Duration, key pair) Estimate {
	if e, known := m.pairs[key]; known {
		return e.aged(now)
	}
	for distance := int32(1); distance < buckets; distance++ {
		for _, b := range [2]int32{key.bucket - distance, key.bucket + distance} {
			if e, known := m.pairs[pair{key.victim, key.aggressor, b}]; known {
				return Estimate{Mean: e.Mean, Variance: priorVariance, at: now}
			}
		}
	}
	return Estimate{Mean: priorMean, Variance: priorVariance, at: now}
}
