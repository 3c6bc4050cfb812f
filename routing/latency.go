package routing

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// latencyHalfLife is the time in which an estimate falls to half when no
	// request is observed, so that a server that was slow is tried again.
	latencyHalfLife = 5 * time.Second
	// latencyFloor keeps differences below a few milliseconds from outweighing
	// the number of outstanding requests.
	latencyFloor = 5 * time.Millisecond
	// latencyWeight is the weight of a new observation below the estimate. An
	// observation above it replaces it, so a server that turns slow is avoided
	// from the first slow response on.
	latencyWeight = 0.2
)

// latency is a decayed estimate. The word holds the value in microseconds in
// the upper and the time of observation in milliseconds in the lower 32 bits.
type latency struct {
	word atomic.Uint64
}

func (l *latency) observe(now, took time.Duration) {
	for {
		old := l.word.Load()
		value := float64(took)
		if current := float64(decayed(old, now)); value < current {
			value = current + latencyWeight*(value-current)
		}
		if l.word.CompareAndSwap(old, packLatency(now, time.Duration(value))) {
			return
		}
	}
}

func (l *latency) estimate(now time.Duration) time.Duration {
	return decayed(l.word.Load(), now)
}

func packLatency(now, value time.Duration) uint64 {
	micros := min(uint64(max(0, value).Microseconds()), math.MaxUint32)
	return micros<<32 | uint64(uint32(now.Milliseconds()))
}

// decayed unpacks a word. The difference of times is taken modulo 2^32 ms
// (49 days). A clock reading slightly before the observation counts as no age.
func decayed(word uint64, now time.Duration) time.Duration {
	value := time.Duration(word>>32) * time.Microsecond
	if value == 0 {
		return 0
	}
	age := time.Duration(int32(uint32(now.Milliseconds())-uint32(word))) * time.Millisecond
	if age <= 0 {
		return value
	}
	return time.Duration(float64(value) * math.Exp2(-age.Seconds()/latencyHalfLife.Seconds()))
}
