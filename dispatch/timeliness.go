package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// timeliness classifies a waiting step by whether its submission can still complete
// within its objective. Under overload, work that can be on time is placed before
// work that will be late in any case: in order of due time alone, the most overdue
// work would come first and all work would be late.
type timeliness int

const (
	// onTime: the submission can complete within its objective, or it has begun
	// and can complete within lateFactor times its objective. Begun submissions
	// keep their place, because otherwise the work done for them would be lost,
	// and large submissions, which take longest, would never complete.
	onTime timeliness = iota
	// late: the submission has not begun and can complete only within lateFactor
	// times its objective.
	late
	// veryLate: the submission takes longer than that. It is still completed when
	// there is free capacity, because it was accepted.
	veryLate
)

const (
	// lateFactor is the multiple of its objective within which a submission is
	// still of some use, as stated by the platform's users.
	lateFactor = 3
	// minEstimateShare is the fraction of the estimated time that work is assumed to
	// take at least. Estimates are rough, and a wrong one must not cause work to be
	// classified as late.
	minEstimateShare = 0.7
)

// timelinessOf classifies a waiting step of an occurrence that came due the elapsed
// time ago.
func timelinessOf(e *ledger.Entry, expected *expectation, step int, elapsed time.Duration) timeliness {
	if e.Steps[step].LongRunning {
		return onTime
	}
	remaining := time.Duration(minEstimateShare * float64(expected.chain[step]))
	objective := expected.objective
	switch {
	case elapsed+remaining <= objective:
		return onTime
	case elapsed+remaining > lateFactor*objective:
		return veryLate
	case e.State() == workload.Running:
		return onTime
	}
	return late
}
