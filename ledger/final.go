package ledger

import (
	"slices"
	"strings"

	"github.com/cactusreel/cactusreel/workload"
)

// Abandoned returns the entries that are cancelled or have failed, whose runs may still be
// active, in ascending order of id. Of an entry that a snapshot has as final, no tasks are
// known.
func (l *Ledger) Abandoned() []*Entry {
	var out []*Entry
	l.entries.Range(func(_, value any) bool {
		e := value.(*Entry)
		if state := e.State(); state == workload.Cancelled || state == workload.Failed {
			out = append(out, e)
		}
		return true
	})
	slices.SortFunc(out, func(a, b *Entry) int { return strings.Compare(a.ID, b.ID) })
	return out
}
