package coordinator

import (
	"math"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/workload"
)

const (
	// reportTimeout is how long a round of calls to the witnesses waits for a new report of
	// the owner's leases. Without one the newest is sent again.
	reportTimeout = 50 * time.Millisecond
	// maxPendingReports limits the reports that no majority holds yet.
	maxPendingReports = 16
	// reportUnit is the unit of the times in a report.
	reportUnit = 50 * time.Millisecond
	// spareWorkers is by how many workers a numbering may exceed twice those that are reported.
	spareWorkers = 64
	// unlimited stands for the expiry of leases of which no report tells.
	unlimited = time.Duration(math.MaxInt64)
)

// leaseReport tells by when the leases that an owner has granted, and those that it grants
// before a majority of its witnesses holds a later report, have expired.
type leaseReport struct {
	number  int64
	workers *numbering
	// expiry has the time for each worker by its number, on the owner's monotonic clock, or
	// unlimited. Workers with higher numbers are not in it.
	expiry []time.Duration
}

func (r *leaseReport) expiryOf(worker workload.Incarnation) time.Duration {
	number, known := r.workers.numbers[worker]
	if !known || number >= len(r.expiry) {
		return unlimited
	}
	return r.expiry[number]
}

// numbering numbers workers in the order in which they are first reported.
type numbering struct {
	// number tells numberings apart. A later one has a higher number.
	number  int64
	numbers map[workload.Incarnation]int
	all     []workload.Incarnation
}

func newNumbering(number int64) *numbering {
	return &numbering{number: number, numbers: make(map[workload.Incarnation]int)}
}

// knownNumbering is how many workers of a numbering a process knows.
type knownNumbering struct {
	number  int64
	workers int
}

// later returns the one of two from which the process knows more.
func (k knownNumbering) later(other knownNumbering) knownNumbering {
	if k.number > other.number || k.number == other.number && k.workers > other.workers {
		return k
	}
	return other
}

// leaseReports are the reports of an owner. A successor may learn any report from the newest
// one that a majority of the witnesses holds on, so each of these limits the leases.
type leaseReports struct {
	// workers is the newest numbering. It is replaced when it exceeds twice the workers that
	// are reported by more than spare.
	workers *numbering
	spare   int
	// last is the number of the newest report, newest is that report. ended: there will be no
	// later one.
	last   int64
	newest leaseReport
	ended  bool
	// limiting are the reports from number from on, in their order. from never falls: each
	// lease that was granted keeps to the reports from there on.
	limiting []leaseReport
	from     int64
}

func newLeaseReports() leaseReports {
	return leaseReports{workers: newNumbering(1), spare: spareWorkers, from: 1}
}

// add makes a report of the expiry of the leases of some workers. They must include the leases
// that have been granted, and none may be granted until add returns. There is none while too many
// reports limit the leases, or after the last one, which tells nothing.
func (l *leaseReports) add(expiry map[workload.Incarnation]time.Duration) {
	if l.ended || len(l.limiting) >= maxPendingReports {
		return
	}
	if len(l.workers.all) > 2*len(expiry)+l.spare {
		l.workers = newNumbering(l.workers.number + 1)
	}
	for incarnation := range expiry {
		if _, known := l.workers.numbers[incarnation]; !known {
			l.workers.numbers[incarnation] = len(l.workers.all)
			l.workers.all = append(l.workers.all, incarnation)
		}
	}
	l.append(expiry)
}

// end makes the last report. It tells nothing.
func (l *leaseReports) end() {
	l.ended = true
	l.append(nil)
}

func (l *leaseReports) append(expiry map[workload.Incarnation]time.Duration) {
	l.last++
	l.newest = leaseReport{number: l.last, workers: l.workers, expiry: make([]time.Duration, len(l.workers.all))}
	for i, incarnation := range l.workers.all {
		l.newest.expiry[i] = unlimited
		if at, reported := expiry[incarnation]; reported {
			l.newest.expiry[i] = at
		}
	}
	l.limiting = append(l.limiting, l.newest)
}

// release ends the limits of the reports before one.
func (l *leaseReports) release(from int64) {
	l.from = max(l.from, from)
	l.limiting = slices.DeleteFunc(l.limiting, func(r leaseReport) bool { return r.number < l.from })
}

// limit returns the time by which a lease that is granted to a worker now must have expired.
func (l *leaseReports) limit(worker workload.Incarnation) time.Duration {
	limit := unlimited
	for i := range l.limiting {
		limit = min(limit, l.limiting[i].expiryOf(worker))
	}
	return limit
}

// limitsAny reports whether a lease of any worker is limited.
func (l *leaseReports) limitsAny() bool {
	return slices.ContainsFunc(l.limiting, func(r leaseReport) bool {
		return slices.ContainsFunc(r.expiry, func(at time.Duration) bool { return at < unlimited })
	})
}

// message returns the newest report for a process that knows some of the workers, or nil if
// there is none.
func (l *leaseReports) message(known knownNumbering, now time.Duration) *coordpb.LeaseReport {
	if l.last == 0 {
		return nil
	}
	first := 0
	if known.number == l.workers.number {
		first = min(known.workers, len(l.workers.all))
	}
	m := &coordpb.LeaseReport{
		Number: l.last, Numbering: l.workers.number, FirstWorker: int32(first), Expiry: make([]byte, len(l.newest.expiry)),
	}
	for _, incarnation := range l.workers.all[first:] {
		m.Workers = append(m.Workers, &coordpb.ReportedWorker{Worker: incarnation.Worker, Born: incarnation.StartMillis})
	}
	for i, at := range l.newest.expiry {
		if units := (max(at-now, 1) + reportUnit - 1) / reportUnit; at < unlimited && units <= math.MaxUint8 {
			m.Expiry[i] = byte(units)
		}
	}
	return m
}

// heldReport is the newest report of an owner that a witness holds.
type heldReport struct {
	number int64
	// receivedAt is when it arrived, on the node's monotonic clock. Its times count from
	// there, which is no earlier than the owner sent it.
	receivedAt time.Duration
	expiry     []byte
	// workers are the owner's workers by number, as far as they are known, in the numbering
	// with a number.
	numbering int64
	workers   []workload.Incarnation
}

// known returns which workers are known.
func (h *heldReport) known() knownNumbering { return knownNumbering{h.numbering, len(h.workers)} }

// update takes a report over, unless a newer one is held or it has workers that are not known.
func (h *heldReport) update(m *coordpb.LeaseReport, now time.Duration) {
	if m.Numbering > h.numbering && m.FirstWorker == 0 && m.Number > h.number {
		*h = heldReport{numbering: m.Numbering}
	}
	if m.Numbering != h.numbering || int(m.FirstWorker) > len(h.workers) || m.FirstWorker < 0 {
		return
	}
	for _, named := range m.Workers[min(len(m.Workers), len(h.workers)-int(m.FirstWorker)):] {
		h.workers = append(h.workers, workload.Incarnation{Worker: named.Worker, StartMillis: named.Born})
	}
	if m.Number > h.number && len(m.Expiry) <= len(h.workers) {
		h.number, h.receivedAt, h.expiry = m.Number, now, m.Expiry
	}
}

// leases returns the time from now until all leases have expired, for each worker in it.
func (h *heldReport) leases(now time.Duration) []*coordpb.WorkerLease {
	var out []*coordpb.WorkerLease
	for i, units := range h.expiry {
		if units > 0 {
			left := max(0, h.receivedAt+time.Duration(units)*reportUnit-now)
			out = append(out, &coordpb.WorkerLease{Worker: h.workers[i].Worker, Born: h.workers[i].StartMillis, ExpiryMs: ceilMillis(left)})
		}
	}
	return out
}
