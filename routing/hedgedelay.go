package routing

import (
	"sync/atomic"
	"time"
)

const (
	// hedgeDelayFloor keeps hedges away from services whose responses all take
	// about the same short time.
	hedgeDelayFloor = 20 * time.Millisecond
	// hedgeStepDivisor sets the step of the estimate to a part of its value.
	hedgeStepDivisor = 32
	// hedgeQuantilePercent is the quantile that the estimate follows: a hedge
	// is considered for the slowest 5% of requests.
	hedgeQuantilePercent = 95
)

// hedgeDelay follows the 95th percentile of the time to the response head by
// stochastic approximation: up by 95 parts of a step for a slower response,
// down by 5 parts for a faster one. A histogram of HdrHistogram would need a
// lock on the request path.
type hedgeDelay struct {
	nanos atomic.Int64
}

func (h *hedgeDelay) observe(took time.Duration) {
	old := h.nanos.Load()
	if old == 0 {
		h.nanos.CompareAndSwap(0, int64(took))
		return
	}
	step := old / hedgeStepDivisor / 100
	next := old - step*(100-hedgeQuantilePercent)
	if int64(took) > old {
		next = old + step*hedgeQuantilePercent
	}
	// A lost update is one observation less.
	h.nanos.CompareAndSwap(old, max(next, int64(hedgeDelayFloor)))
}

// value returns the delay after which a hedge is due, or 0 before the first
// observation.
func (h *hedgeDelay) value() time.Duration {
	nanos := h.nanos.Load()
	if nanos == 0 {
		return 0
	}
	return max(hedgeDelayFloor, time.Duration(nanos))
}
