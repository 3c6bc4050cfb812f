package ledger

import "time"

// agingIDs is a list of ids in the order of their addition, from which old ones are
// removed.
type agingIDs struct {
	// recent are those that were added since the last removal, aged the others.
	recent []string
	aged   []agedID
}

// agedID is an id and the time of the first removal that found it.
type agedID struct {
	id    string
	since time.Duration
}

func (a *agingIDs) add(id string) { a.recent = append(a.recent, id) }

// removeOld removes the ids that are older than retention and calls removed for each. The
// age of an id counts from the first removal after its addition.
func (a *agingIDs) removeOld(now, retention time.Duration, removed func(id string)) {
	for _, id := range a.recent {
		a.aged = append(a.aged, agedID{id: id, since: now})
	}
	a.recent = a.recent[:0]
	expired := 0
	for expired < len(a.aged) && now-a.aged[expired].since > retention {
		removed(a.aged[expired].id)
		expired++
	}
	a.aged = append(a.aged[:0], a.aged[expired:]...)
}

// removeOldest removes the oldest id and returns it, or "" if there is none.
func (a *agingIDs) removeOldest() string {
	var id string
	switch {
	case len(a.aged) > 0:
		id, a.aged = a.aged[0].id, a.aged[1:]
	case len(a.recent) > 0:
		id, a.recent = a.recent[0], a.recent[1:]
	}
	return id
}
