package capacity

import "math"

// lastUninfected is the expected number of VMs without the record after the last
// round.
const lastUninfected = 0.01

// fanouts returns the fanout of each round of the synchronous gossip protocol of
// Verma and Ooi for N = entryVMs: F(r+1) = ((N-1)/I(r)) ln(U(r)/U(r+1)), where I
// and U are the numbers of VMs with and without the record (infected and
// uninfected). The target pattern multiplies I by growth in each round; in the
// last round U falls to lastUninfected.
func fanouts(growth float64) []float64 {
	var list []float64
	infected := 1.0
	for {
		uninfected := float64(entryVMs) - infected
		next := float64(entryVMs) - infected*growth
		last := next < 1
		if last {
			next = lastUninfected
		}
		list = append(list, float64(entryVMs-1)/infected*math.Log(uninfected/next))
		if last {
			return list
		}
		infected *= growth
	}
}
