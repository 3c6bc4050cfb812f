package bench

import (
	"math"
	"math/rand/v2"
)

// truth is the interference that the policy can't see.
type truth struct {
	// harm is the log slowdown of a victim's kind by one task of an
	// aggressor's kind at full load.
	harm [][]float64
	// kinds gives the number of each kind.
	kinds map[string]int
}

// newTruth draws the interference of all ordered pairs: one pair in four
// interferes strongly.
func newTruth(random *rand.Rand, d *Deployment) *truth {
	var kinds []string
	for _, s := range d.Services {
		kinds = append(kinds, s.Kind)
	}
	services := len(kinds)
	for _, c := range d.Classes {
		kinds = append(kinds, c.Kind)
	}
	t := &truth{harm: make([][]float64, len(kinds)), kinds: map[string]int{}}
	for v, victim := range kinds {
		t.kinds[victim] = v
		t.harm[v] = make([]float64, len(kinds))
		for a := range kinds {
			harm := 0.02 * random.Float64()
			if random.Float64() < 0.25 {
				harm = 0.08 + 0.22*random.Float64()
			}
			if v < services && a < services {
				harm *= 0.3
			}
			t.harm[v][a] = harm
		}
	}
	return t
}

// slowdown returns the log slowdown of a victim by one aggressor that uses a
// share of its processors, at a load from 0 to 1. It depends on the load.
func (t *truth) slowdown(victim, aggressor int, share, load float64) float64 {
	return t.harm[victim][aggressor] * share * (0.3 + 0.7*load*load)
}

// maxHarm bounds the log slowdown of a task by all its neighbours: a slowdown of
// 3.7. Shared caches and links saturate. Without the bound, twenty small tasks
// of one kind slowed a service by a factor of 30 in trials.
const maxHarm = 1.3

// saturate returns the log slowdown for a sum over the neighbours.
func saturate(sum float64) float64 {
	return maxHarm * (1 - math.Exp(-sum/maxHarm))
}

// queueing returns the factor on a service's latency by the load of its worker.
func queueing(load float64) float64 {
	return 1 / (1 - 0.4*math.Pow(min(load, 1), 4))
}
