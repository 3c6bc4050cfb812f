package routing

import (
	"sync/atomic"
	"time"
)

const (
	// callerBuckets is the number of counters per service that callers are
	// hashed into. Callers in one bucket share one fair share.
	callerBuckets = 256
	// activePeriod is how long a caller counts as active after a request: the
	// period of its last request and the one after it.
	activePeriod = time.Second
)

// callerShare counts the requests in progress of the callers of one bucket.
type callerShare struct {
	inProgress atomic.Int32
	// period is the activePeriod of the last request, plus 1.
	period atomic.Uint32
}

// activeCallers counts the buckets that had a request in this activePeriod
// and in the one before. The word holds the period in the upper 32 bits, then
// 16 bits for the previous and 16 bits for the present count.
type activeCallers struct {
	word atomic.Uint64
}

// seen records a request of a caller and returns the number of active callers,
// at least 1.
func (a *activeCallers) seen(now time.Duration, share *callerShare) int64 {
	period := uint32(now/activePeriod) + 1
	first := share.period.Load() != period && share.period.Swap(period) != period
	for {
		old := a.word.Load()
		next := rolled(old, period)
		if first {
			next++
		}
		if next == old || a.word.CompareAndSwap(old, next) {
			return int64(max(1, next&0xffff, next>>16&0xffff))
		}
	}
}

// rolled returns the word moved on to a period. A period before the word's is
// that of a goroutine that was delayed; the word then stays.
func rolled(word uint64, period uint32) uint64 {
	current := uint32(word >> 32)
	if period <= current {
		return word
	}
	previous := uint64(0)
	if period == current+1 {
		previous = word & 0xffff
	}
	return uint64(period)<<32 | previous<<16
}
