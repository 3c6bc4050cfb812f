package ledger

import "time"

// settledEntry is a final entry and when a sweep first saw it.
type settledEntry struct {
	id   string
	seen time.Duration
}

// Sweep forgets entries that have been final for longer than keep. The time is
// any steady clock; it is first noted for entries that became final since the
// last sweep.
func (b *Ledger) Sweep(now, keep time.Duration) {
	for _, id := range b.settled {
		b.aging = append(b.aging, settledEntry{id: id, seen: now})
	}
	b.settled = b.settled[:0]
	gone := 0
	for gone < len(b.aging) && now-b.aging[gone].seen > keep {
		b.entries.Delete(b.aging[gone].id)
		gone++
	}
	b.aging = append(b.aging[:0], b.aging[gone:]...)
}
