package routing

import (
	"sync/atomic"
	"time"
)

const (
	// shareOfFree is how many slots a caller may use beyond its fair share, as
	// a multiple of the slots that are free (dynamic threshold). One greedy
	// caller then leaves a third of the slots free, and many callers with a
	// few requests each are not rejected while slots are free.
	shareOfFree = 2
	// retryPercent and hedgePercent bound extra sends to a share of requests.
	retryPercent = 10
	hedgePercent = 5
	// budgetBurst is how many extra sends a full budget holds.
	budgetBurst = 10
)

// serviceAccount is what a service keeps over table changes.
type serviceAccount struct {
	inProgress atomic.Int64
	// abandoned counts slots of inProgress whose server is to blame.
	abandoned atomic.Int64
	active    activeCallers
	shares    [callerBuckets]callerShare
	retry     *Budget
	hedge     *Budget
	delay     hedgeDelay
}

func newServiceAccount() *serviceAccount {
	return &serviceAccount{
		retry: newBudget(retryPercent, budgetBurst),
		hedge: newBudget(hedgePercent, budgetBurst),
	}
}

// admit decides whether a request may use one of capacity own slots, and
// returns the share that it counts against. It rejects by criticality first
// and then callers that use more than their share: an equal part of the slots,
// or shareOfFree times the free ones, whichever is more. Slots
// that a server failed to free count neither as used nor as capacity, so that a
// stalled server does not take away from what the others may admit.
func (a *serviceAccount) admit(now time.Duration, q *Request, capacity int64) (*callerShare, bool) {
	share := &a.shares[q.Caller%callerBuckets]
	active := a.active.seen(now, share)
	abandoned := a.abandoned.Load()
	used := a.inProgress.Load() - abandoned
	capacity = max(0, capacity-abandoned)
	usable := admissible(capacity, q.Criticality)
	if used >= usable {
		return nil, false
	}
	allowed := max((usable+active-1)/active, shareOfFree*(usable-used))
	return share, int64(share.inProgress.Load()) < allowed
}

// admissible returns how many of capacity slots a criticality may use, at
// least one so that a service with few slots still serves every criticality.
func admissible(capacity int64, c Criticality) int64 {
	return max(min(1, capacity), capacity*c.admissionPercent()/100)
}
