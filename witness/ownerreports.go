package witness

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Report makes a report of the expiry of the leases of some workers. It must include the leases
// that have been granted, and none may be granted until it returns.
func (o *Owner) Report(expiry map[workload.Incarnation]time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reports.add(expiry)
	o.releaseReports()
}

// EndReports makes the last report, which tells nothing, so that leases are limited no more when
// a majority holds it.
func (o *Owner) EndReports() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reports.end()
	o.releaseReports()
}

// ReportsEnded reports whether there will be no later report.
func (o *Owner) ReportsEnded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reports.ended
}

// LimitsWorkers reports whether a report limits the leases of any worker.
func (o *Owner) LimitsWorkers() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reports.limitsAny()
}

// WorkerLimit returns the time by which a lease that is granted to a worker now must have expired.
// It returns false if there is no limit.
func (o *Owner) WorkerLimit(worker workload.Incarnation) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	limit := o.reports.limit(worker)
	return limit, limit < unlimited
}

// ReportFor returns the newest report for a call that is sent now, or nil if there is none: then
// the call is not made.
func (o *Owner) ReportFor(c Call, now time.Duration) *Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.reports.message(o.known[c.Witness.Process], now)
}

// releaseReports ends the limits of the reports that no successor can learn: those before the
// newest one that a majority of each set holds, that on trial included, and all if no set keeps
// reports.
func (o *Owner) releaseReports() {
	sets := o.sets
	if o.trial != nil {
		sets = append(slices.Clone(sets), *o.trial)
	}
	from := o.reports.newest.number + 1
	for i := range sets {
		if sets[i].Reports {
			from = min(from, o.majorityReport(&sets[i]))
		}
	}
	o.reports.release(from)
}

// majorityReport returns the newest report for which a majority of a set holds that one or a
// later one.
func (o *Owner) majorityReport(set *ledger.Witnesses) int64 {
	var held []int64
	for _, one := range set.All {
		held = append(held, o.held[one.Process])
	}
	slices.Sort(held)
	return held[len(held)-set.Majority()]
}

// markReports notes whether all of a set that is to be recorded keep reports, which those of
// earlier versions don't. It returns false if the set can't be recorded yet: leases that have been
// granted need not keep to the reports that a majority of it holds.
func (o *Owner) markReports(set *ledger.Witnesses) bool {
	set.Reports = len(set.All) > 0 && !slices.ContainsFunc(set.All, func(one ledger.Witness) bool { return o.held[one.Process] == 0 })
	o.releaseReports()
	return !set.Reports || o.majorityReport(set) >= o.reports.from
}
