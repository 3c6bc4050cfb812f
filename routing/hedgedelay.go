package routing

import (
	"sync/atomic"
	"time"
)

const (
	// hedgeDelayFloor is the minimum hedge delay. It prevents hedges for
	// services whose responses all take about the same short time.
	hedgeDelayFloor = 20 * time.Millisecond
	// hedgeStepDivisor is the divisor of the estimate that gives the step of an
	// update.
	hedgeStepDivisor = 32
	// hedgeQuantilePercent is the percentile that is estimated: the slowest 5%
	// of requests are candidates for a hedge.
	hedgeQuantilePercent = 95
)

// hedgeDelay estimates the 95th percentile of the time to the response head by
// stochastic approximation: a slower response raises the estimate by 95% of a
// step, a faster one lowers it by 5%. An HdrHistogram would need a lock on the
// request path.
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
	// If another goroutine updates the estimate first, this observation is
	// dropped.
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
