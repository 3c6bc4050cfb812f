package dispatch

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// leaseWaitReportInterval is the time between two reports on runs that wait for leases.
const leaseWaitReportInterval = 2 * time.Second

// reportLeaseWaits emits a decision if runs of silent workers wait for the expiry of
// leases, with the worker whose leases expire last.
func (m *Machine) reportLeaseWaits() {
	if m.now-m.leaseWaitsReportedAt < leaseWaitReportInterval {
		return
	}
	var last *worker
	workers, unlisted, runs := 0, 0, 0
	for _, w := range m.sorted {
		if len(w.runs) == 0 || !w.silent && w.Address != "" || w.leasesExpired(m.now) {
			continue
		}
		workers++
		runs += len(w.runs)
		if !w.listed {
			unlisted++
		}
		if last == nil || w.leaseExpiry() > last.leaseExpiry() {
			last = w
		}
	}
	if last == nil {
		return
	}
	m.leaseWaitsReportedAt = m.now
	grantedBy := "this owner"
	if last.predecessorsExpireAt > last.leasesExpireAt {
		grantedBy = "a previous owner"
	}
	silence := time.Duration(0)
	if last.clockAt > 0 {
		silence = m.now - last.clockAt
	}
	m.emitDecision(LeasesAwaited, workload.RunID{}, last.ID(), fmt.Sprintf("%d runs on %d silent workers, %d of them not listed; the last lease, by %s, expires in %v",
		runs, workers, unlisted, grantedBy, (last.leaseExpiry()-m.now).Round(time.Millisecond)), silence)
}

// leaseExpiry returns when every lease of the incarnation has expired for certain.
func (w *worker) leaseExpiry() time.Duration { return max(w.leasesExpireAt, w.predecessorsExpireAt) }
