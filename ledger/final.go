package ledger

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cactusreel/cactusreel/workload"
)

// Known returns the entries whose steps are known, in order of acceptance: those that are not
// final, and of the final ones those that no snapshot had as such.
func (l *Ledger) Known() []*Entry {
	var out []*Entry
	l.entries.Range(func(_, value any) bool {
		if e := value.(*Entry); len(e.Steps) > 0 {
			out = append(out, e)
		}
		return true
	})
	slices.SortFunc(out, func(a, b *Entry) int { return cmp.Or(a.AcceptedAt.Compare(b.AcceptedAt), strings.Compare(a.ID, b.ID)) })
	return out
}

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
