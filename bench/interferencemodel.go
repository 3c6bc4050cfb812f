package bench

import (
	"math"
	"math/rand/v2"
)

// interferenceModel holds the true interference between kinds of tasks, which
// the policy can't observe directly.
type interferenceModel struct {
	// pairSlowdown is the logarithm of the slowdown that one task of an
	// aggressor's kind causes to a victim's kind at full load, by victim and
	// aggressor.
	pairSlowdown [][]float64
	// kindIndex is the index of each kind in pairSlowdown.
	kindIndex map[string]int
}

// newInterferenceModel draws the interference of all ordered pairs of kinds. One
// pair in four interferes strongly.
func newInterferenceModel(random *rand.Rand, d *Deployment) *interferenceModel {
	var kinds []string
	for _, s := range d.Services {
		kinds = append(kinds, s.Kind)
	}
	services := len(kinds)
	for _, c := range d.Classes {
		kinds = append(kinds, c.Kind)
	}
	m := &interferenceModel{pairSlowdown: make([][]float64, len(kinds)), kindIndex: map[string]int{}}
	for v, victim := range kinds {
		m.kindIndex[victim] = v
		m.pairSlowdown[v] = make([]float64, len(kinds))
		for a := range kinds {
			logSlowdown := 0.02 * random.Float64()
			if random.Float64() < 0.25 {
				logSlowdown = 0.08 + 0.22*random.Float64()
			}
			if v < services && a < services {
				logSlowdown *= 0.3
			}
			m.pairSlowdown[v][a] = logSlowdown
		}
	}
	return m
}

// logSlowdown returns the logarithm of a victim's slowdown by one aggressor that
// uses a share of its processors, at a worker load from 0 to 1.
func (m *interferenceModel) logSlowdown(victim, aggressor int, share, load float64) float64 {
	return m.pairSlowdown[victim][aggressor] * share * (0.3 + 0.7*load*load)
}

// maxLogSlowdown bounds the logarithm of a task's slowdown by all colocated
// tasks; it corresponds to a factor of 3.7. Shared caches and links saturate.
// Without the bound, 20 small tasks of one kind slowed a service by a factor of
// 30.
const maxLogSlowdown = 1.3

// saturate maps the sum of the pairwise log slowdowns to a value below
// maxLogSlowdown.
func saturate(sum float64) float64 {
	return maxLogSlowdown * (1 - math.Exp(-sum/maxLogSlowdown))
}

// queueingFactor returns the factor by which the load of a worker increases the
// latency of its service replicas.
func queueingFactor(load float64) float64 {
	return 1 / (1 - 0.4*math.Pow(min(load, 1), 4))
}
