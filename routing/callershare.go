package routing

import (
	"sync/atomic"
	"time"
)

const (
	// callerBuckets is the number of buckets per service that callers are
	// hashed into. Callers in the same bucket share one fair share.
	callerBuckets = 256
	// activePeriod is the length of the periods by which active callers are
	// counted. A caller counts as active in the period of its last request and
	// in the next one.
	activePeriod = time.Second
)

// callerShare counts the requests in progress of the callers of one bucket.
type callerShare struct {
	inProgress atomic.Int32
	// period is the number of the period of the last request, plus 1; 0 means
	// that there was none.
	period atomic.Uint32
}

// activeCallers counts the buckets with a request in the current and in the
// previous period. packed holds the period number in the upper 32 bits, then
// 16 bits for the previous count and 16 bits for the current count.
type activeCallers struct {
	packed atomic.Uint64
}

// recordRequest records a request of a caller and returns the number of active
// callers, at least 1.
func (a *activeCallers) recordRequest(now time.Duration, share *callerShare) int64 {
	period := uint32(now/activePeriod) + 1
	first := share.period.Load() != period && share.period.Swap(period) != period
	for {
		old := a.packed.Load()
		next := advancePeriod(old, period)
		if first {
			next++
		}
		if next == old || a.packed.CompareAndSwap(old, next) {
			return int64(max(1, next&0xffff, next>>16&0xffff))
		}
	}
}

// advancePeriod moves the packed counts on to a period. A delayed goroutine
// may pass an earlier period than the current one; the counts then stay as
// they are.
func advancePeriod(packed uint64, period uint32) uint64 {
	current := uint32(packed >> 32)
	if period <= current {
		return packed
	}
	previous := uint64(0)
	if period == current+1 {
		previous = packed & 0xffff
	}
	return uint64(period)<<32 | previous<<16
}
