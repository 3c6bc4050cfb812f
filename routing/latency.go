package routing

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// latencyHalfLife is the half-life of an estimate while no request is
	// observed. The decay lets a server that was slow be tried again.
	latencyHalfLife = 5 * time.Second
	// latencyFloor is added to estimates when servers are compared, so that
	// differences of a few milliseconds don't outweigh the number of
	// outstanding requests.
	latencyFloor = 5 * time.Millisecond
	// latencyWeight is the weight of an observation that is below the estimate.
	// An observation above the estimate replaces it, so a server that becomes
	// slow is avoided after its first slow response.
	latencyWeight = 0.2
)

// latency is an exponentially decaying estimate. packed holds the value in
// microseconds in the upper 32 bits and the time of the observation in
// milliseconds in the lower 32 bits.
type latency struct {
	packed atomic.Uint64
}

func (l *latency) observe(now, took time.Duration) {
	for {
		old := l.packed.Load()
		value := float64(took)
		if current := float64(decayed(old, now)); value < current {
			value = current + latencyWeight*(value-current)
		}
		if l.packed.CompareAndSwap(old, packLatency(now, time.Duration(value))) {
			return
		}
	}
}

func (l *latency) estimate(now time.Duration) time.Duration {
	return decayed(l.packed.Load(), now)
}

func packLatency(now, value time.Duration) uint64 {
	micros := min(uint64(max(0, value).Microseconds()), math.MaxUint32)
	return micros<<32 | uint64(uint32(now.Milliseconds()))
}

// decayed returns the value of a packed estimate, decayed to now. The time
// difference is taken modulo 2^32 ms (49 days). A clock reading slightly
// before the observation counts as zero age.
func decayed(packed uint64, now time.Duration) time.Duration {
	value := time.Duration(packed>>32) * time.Microsecond
	if value == 0 {
		return 0
	}
	age := time.Duration(int32(uint32(now.Milliseconds())-uint32(packed))) * time.Millisecond
	if age <= 0 {
		return value
	}
	return time.Duration(float64(value) * math.Exp2(-age.Seconds()/latencyHalfLife.Seconds()))
}
