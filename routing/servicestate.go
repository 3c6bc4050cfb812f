package routing

import (
	"sync/atomic"
	"time"
)

const (
	// freeSlotsMultiple is the dynamic threshold that lets a caller exceed its
	// equal share: it may use this multiple of the free slots. A single greedy
	// caller then leaves a third of the slots free, and many callers with a few
	// requests each are not rejected while slots are free.
	freeSlotsMultiple = 2
	// retryPercent and hedgePercent limit retries and hedges to a percentage of
	// the requests.
	retryPercent = 10
	hedgePercent = 5
	// budgetBurst is the number of extra sends in a full budget.
	budgetBurst = 10
)

// serviceState is the state of a service that survives table updates.
type serviceState struct {
	inProgress atomic.Int64
	// abandoned counts the slots of inProgress that were abandoned because the
	// server failed to respond; see Slot.Abandon.
	abandoned atomic.Int64
	active    activeCallers
	shares    [callerBuckets]callerShare
	retry     *Budget
	hedge     *Budget
	delay     hedgeDelay
}

func newServiceState() *serviceState {
	return &serviceState{
		retry: newBudget(retryPercent, budgetBurst),
		hedge: newBudget(hedgePercent, budgetBurst),
	}
}

// admit decides whether a request may use one of capacity slots in own cells,
// and returns the share that it counts against. It rejects by criticality
// first, and then callers that use more than their fair share: an equal part of
// the slots, or freeSlotsMultiple times the free slots, whichever is more.
// Slots that a server failed to free count neither as used nor as capacity, so
// that a stalled server does not reduce what the other servers may admit.
func (s *serviceState) admit(now time.Duration, q *Request, capacity int64) (*callerShare, bool) {
	share := &s.shares[q.Caller%callerBuckets]
	active := s.active.recordRequest(now, share)
	abandoned := s.abandoned.Load()
	used := s.inProgress.Load() - abandoned
	capacity = max(0, capacity-abandoned)
	usable := admissionLimit(capacity, q.Criticality)
	if used >= usable {
		return nil, false
	}
	allowed := max((usable+active-1)/active, freeSlotsMultiple*(usable-used))
	return share, int64(share.inProgress.Load()) < allowed
}

// admissionLimit returns how many of capacity slots requests of a criticality
// may use. It is at least one if capacity is not 0, so that a service with few
// slots still serves every criticality.
func admissionLimit(capacity int64, c Criticality) int64 {
	return max(min(1, capacity), capacity*c.admissionPercent()/100)
}
