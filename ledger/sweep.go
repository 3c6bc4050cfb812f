package ledger

import "time"

// Sweep removes entries that have been final for longer than retention, and early
// cancellations that are older. The time may be that of any monotonic clock. The age
// counts from the first sweep after an entry became final.
func (l *Ledger) Sweep(now, retention time.Duration) {
	l.finalEntries.removeOld(now, retention, func(id string) { l.entries.Delete(id) })
	l.earlyCancels.order.removeOld(now, retention, l.earlyCancels.remove)
}
