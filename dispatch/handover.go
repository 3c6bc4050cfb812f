package dispatch

import "time"

// HandOver returns the heartbeats of an owner that gives the cell up at time now of the
// node's monotonic clock: they extend the leases of all workers with runs to a duration,
// so that the runs outlast a takeover that has to wait for the store. Runs of final
// submissions don't count. The answers are not needed. A draining worker is granted its usual
// lease: what it runs may not outlast the takeover anyway, and if the worker leaves, the successor
// waits for that lease.
func (m *Machine) HandOver(now, lease time.Duration) []Heartbeat {
	m.now = max(m.now, now)
	var out []Heartbeat
	for _, w := range m.sorted {
		if !w.hasLiveRuns() || !w.reported || w.silent || w.gone || w.bar != leasesAllowed || w.Address == "" || w.clock == 0 {
			continue
		}
		granted := w.limitLease(lease)
		out = append(out, Heartbeat{Target: w.target(), Cursor: w.cursor, Deadline: w.extendLease(m.now, granted), Shorter: lease - granted})
	}
	return out
}
