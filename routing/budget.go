package routing

import "sync/atomic"

// budgetUnit is the fixed-point representation of one retry or hedge.
const budgetUnit = 1000

// Budget is a token bucket that limits extra sends (retries or hedges) to a
// share of the requests: each request deposits a fraction of a token, and each
// extra send withdraws one token.
type Budget struct {
	perRequest int64
	limit      int64
	balance    atomic.Int64
}

// newBudget returns a full budget that allows percent extra sends per 100
// requests and accumulates at most burst extra sends.
func newBudget(percent, burst int64) *Budget {
	b := &Budget{perRequest: percent * budgetUnit / 100, limit: burst * budgetUnit}
	b.balance.Store(b.limit)
	return b
}

// Deposit credits the budget with one request.
func (b *Budget) Deposit() {
	for {
		old := b.balance.Load()
		next := min(b.limit, old+b.perRequest)
		if next == old || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}

// Withdraw takes one extra send from the budget. It returns false and takes
// nothing if the budget is exhausted.
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
