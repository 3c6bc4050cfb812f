package ledger

import (
	"sync"

	"github.com/cactusreel/cactusreel/workload"
)

// Index finds entries by id from any goroutine.
type Index struct {
	entries sync.Map
}

// Find returns the entry of an id, or nil.
func (x *Index) Find(id string) *Entry {
	value, ok := x.entries.Load(id)
	if !ok {
		return nil
	}
	return value.(*Entry)
}

// Pending counts the submissions of a queue that no task of has started, and
// that are not due later.
func (x *Index) Pending(queue string) int {
	pending := 0
	x.entries.Range(func(_, value any) bool {
		e := value.(*Entry)
		if e.Queue == queue && e.State() == workload.Queued {
			pending++
		}
		return true
	})
	return pending
}
