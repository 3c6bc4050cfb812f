package routing

import "sync/atomic"

// budgetUnit is one whole retry or hedge in the budget's fixed-point form.
const budgetUnit = 1000

// Budget bounds extra sends to a share of the requests: each request deposits
// a part, each extra send withdraws a whole.
type Budget struct {
	perRequest int64
	limit      int64
	balance    atomic.Int64
}

// newBudget returns a budget of percent extra sends per request that holds at
// most burst extra sends. It starts full.
func newBudget(percent, burst int64) *Budget {
	b := &Budget{perRequest: percent * budgetUnit / 100, limit: burst * budgetUnit}
	b.balance.Store(b.limit)
	return b
}

// Deposit counts a request.
func (b *Budget) Deposit() {
	for {
		old := b.balance.Load()
		next := min(b.limit, old+b.perRequest)
		if next == old || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// Withdraw returns whether an extra send is within the budget, and counts it.
func (b *Budget) Withdraw() bool {
	for {
		old := b.balance.Load()
		if old < budgetUnit {
			return false
		}
		if b.balance.CompareAndSwap(old, old-budgetUnit) {
			return true
		}
	}
}
