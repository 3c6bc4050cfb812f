package ledger

import "sync"

// Index finds entries by id. It is safe for concurrent use.
type Index struct {
	entries sync.Map
}

// Find returns the entry with an id, or nil.
func (x *Index) Find(id string) *Entry {
	value, ok := x.entries.Load(id)
	if !ok {
		return nil
	}
	return value.(*Entry)
}

// Pending returns the number of submissions of a queue none of whose tasks is known to have
// started. Those whose due time is still to come are included.
func (x *Index) Pending(queue string) int {
	pending := 0
	x.entries.Range(func(_, value any) bool {
		e := value.(*Entry)
		if e.Queue == queue && e.pending() {
			pending++
		}
		return true
	})
	return pending
}
