package witness

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

const (
	// maxPendingReports limits the reports that no majority holds yet.
	maxPendingReports = 16
	// spareWorkers is by how many workers a numbering may exceed twice those that are reported.
	spareWorkers = 64
)

// ownReport is a report as its owner keeps it.
type ownReport struct {
	number  int64
	workers *numbering
	// expiry has the time by which all leases have expired for each worker by its number, or
	// unlimited. Workers with higher numbers are not in it.
	expiry []time.Duration
}

func (r *ownReport) expiryOf(worker workload.Incarnation) time.Duration {
	number, known := r.workers.numbers[worker]
	if !known || number >= len(r.expiry) {
		return unlimited
	}
	return r.expiry[number]
}

// ownReports are the reports of an owner. A successor may learn any report from the newest one
// that a majority of the witnesses holds on, so each of these limits the leases.
type ownReports struct {
	// workers is the newest numbering. It is replaced when it exceeds twice the workers that
	// are reported by more than spare.
	workers *numbering
	spare   int
	// newest is the newest report. ended: there will be no later one.
	newest ownReport
	ended  bool
	// limiting are the reports from number from on, in their order. from never falls: each
	// lease that was granted keeps to the reports from there on.
	limiting []ownReport
	from     int64
}

func newOwnReports() ownReports {
	return ownReports{workers: newNumbering(1), spare: spareWorkers, from: 1}
}

// add makes a report of the expiry of the leases of some workers. There is none while too many
// reports limit the leases, or after the last one, which tells nothing.
func (l *ownReports) add(expiry map[workload.Incarnation]time.Duration) {
	if l.ended || len(l.limiting) >= maxPendingReports {
		return
	}
	if len(l.workers.all) > 2*len(expiry)+l.spare {
		l.workers = newNumbering(l.workers.number + 1)
	}
	for worker := range expiry {
		l.workers.add(worker)
	}
	l.append(expiry)
}

// end makes the last report. It tells nothing.
func (l *ownReports) end() {
	l.ended = true
	l.append(nil)
}

func (l *ownReports) append(expiry map[workload.Incarnation]time.Duration) {
	l.newest = ownReport{number: l.newest.number + 1, workers: l.workers, expiry: make([]time.Duration, len(l.workers.all))}
	for i, worker := range l.workers.all {
		l.newest.expiry[i] = unlimited
		if at, reported := expiry[worker]; reported {
			l.newest.expiry[i] = at
		}
	}
	l.limiting = append(l.limiting, l.newest)
}

// release ends the limits of the reports before one.
func (l *ownReports) release(from int64) {
	l.from = max(l.from, from)
	l.limiting = slices.DeleteFunc(l.limiting, func(r ownReport) bool { return r.number < l.from })
}

// limit returns the time by which a lease that is granted to a worker now must have expired.
func (l *ownReports) limit(worker workload.Incarnation) time.Duration {
	limit := unlimited
	for i := range l.limiting {
		limit = min(limit, l.limiting[i].expiryOf(worker))
	}
	return limit
}

// limitsAny reports whether a lease of any worker is limited.
func (l *ownReports) limitsAny() bool {
	return slices.ContainsFunc(l.limiting, func(r ownReport) bool {
		return slices.ContainsFunc(r.expiry, func(at time.Duration) bool { return at < unlimited })
	})
}

// message returns the newest report for a process that knows some of the workers, or nil if
// there is none.
func (l *ownReports) message(known Known, now time.Duration) *Report {
	if l.newest.number == 0 {
		return nil
	}
	first := 0
	if known.Numbering == l.workers.number {
		first = min(known.Workers, len(l.workers.all))
	}
	m := &Report{
		Number: l.newest.number, Numbering: l.workers.number,
		FirstWorker: first, Workers: slices.Clone(l.workers.all[first:]), Expiry: make([]byte, len(l.newest.expiry)),
	}
	for i, at := range l.newest.expiry {
		m.Expiry[i] = reportUnits(at, now)
	}
	return m
}

// reportUnits returns the time from now until an expiry, rounded up, or 0 if that can't be told.
func reportUnits(at, now time.Duration) byte {
	const longest = 255
	if at == unlimited {
		return 0
	}
	if units := (max(at-now, 1) + ReportUnit - 1) / ReportUnit; units <= longest {
		return byte(units)
	}
	return 0
}
