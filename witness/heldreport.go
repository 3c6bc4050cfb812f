package witness

import (
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// heldReport is the newest report of an owner that a witness holds.
type heldReport struct {
	number int64
	// receivedAt is when it arrived, on the witness' clock. Its times count from there, which
	// is no earlier than the owner sent it.
	receivedAt time.Duration
	expiry     []byte
	// workers are the owner's workers by number, as far as they are known, in a numbering.
	numbering int64
	workers   []workload.Incarnation
}

// known returns which workers are known.
func (h *heldReport) known() Known { return Known{Numbering: h.numbering, Workers: len(h.workers)} }

// update takes a report over, unless a newer one is held or it has workers that are not known.
func (h *heldReport) update(r *Report, now time.Duration) {
	if r.Numbering > h.numbering && r.FirstWorker == 0 && r.Number > h.number {
		*h = heldReport{numbering: r.Numbering}
	}
	if r.Numbering != h.numbering || r.FirstWorker > len(h.workers) || r.FirstWorker < 0 {
		return
	}
	h.workers = append(h.workers, r.Workers[min(len(r.Workers), len(h.workers)-r.FirstWorker):]...)
	if r.Number > h.number && len(r.Expiry) <= len(h.workers) {
		h.number, h.receivedAt, h.expiry = r.Number, now, r.Expiry
	}
}

// leases returns the time from now until all leases have expired, for each worker in it.
func (h *heldReport) leases(now time.Duration) map[workload.Incarnation]time.Duration {
	out := make(map[workload.Incarnation]time.Duration)
	for i, units := range h.expiry {
		if units > 0 {
			out[h.workers[i]] = max(0, h.receivedAt+time.Duration(units)*ReportUnit-now)
		}
	}
	return out
}
