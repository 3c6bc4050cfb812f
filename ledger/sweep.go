package ledger

import "time"

// finalEntry is the id of a final entry and the time of the first sweep that
// found it final.
type finalEntry struct {
	id         string
	finalSince time.Duration
}

// Sweep removes entries that have been final for longer than retention. The time
// may be that of any monotonic clock. The age of an entry counts from the first
// sweep after it became final.
func (l *Ledger) Sweep(now, retention time.Duration) {
	for _, id := range l.newlyFinal {
		l.finalEntries = append(l.finalEntries, finalEntry{id: id, finalSince: now})
	}
	l.newlyFinal = l.newlyFinal[:0]
	expired := 0
	for expired < len(l.finalEntries) && now-l.finalEntries[expired].finalSince > retention {
		l.entries.Delete(l.finalEntries[expired].id)
		expired++
	}
	l.finalEntries = append(l.finalEntries[:0], l.finalEntries[expired:]...)
}
