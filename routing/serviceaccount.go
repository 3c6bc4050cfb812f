package routing

import (
	"sync/atomic"
	"time"
)

const (
	// fairFromPercent is the use of a service's own slots, in percent, from
	// which a caller is held to its fair share. Below it, callers may use what
	// others leave.
	fairFromPercent = 50
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
// and then, from fairFromPercent on, callers that use their fair share. Slots
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
	if used*100 < capacity*fairFromPercent {
		return share, true
	}
	fair := (usable + active - 1) / active
	return share, int64(share.inProgress.Load()) < fair
}

// admissible returns how many of capacity slots a criticality may use, at
// least one so that a service with few slots still serves every criticality.
func admissible(capacity int64, c Criticality) int64 {
	return max(min(1, capacity), capacity*c.admissionPercent()/100)
}
