package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// hope is how much completing a step's submission soon is still worth to its
// caller. While there is too little room, work that can be on time goes before
// work that is late whatever happens: by due time alone the latest would come
// first, and everything would be late.
type hope int

const (
	// onTime: the submission can complete within its objective, or it has begun
	// and is still of use: what was done for it would be lost to its caller, and
	// large submissions, which take longest, would never end.
	onTime hope = iota
	// late: it has not begun, and can complete within lateLimit times its objective.
	late
	// tooLate: it is finished because it was accepted, when there is room.
	tooLate
)

const (
	// lateLimit is how many times its objective a submission may take and still
	// be of some use; the platform's users state it.
	lateLimit = 3
	// likelyShare is the part of the estimated time that work takes at least;
	// estimates are rough, and work is not given up for a wrong one.
	likelyShare = 0.7
)

// hopeFor judges a waiting step of an occurrence that came due a time ago.
func hopeFor(e *ledger.Entry, step int, since time.Duration) hope {
	if e.Steps[step].LongRunning {
		return onTime
	}
	left := time.Duration(likelyShare * float64(e.CriticalPathFrom(step)))
	objective := e.Objective()
	switch {
	case since+left <= objective:
		return onTime
	case since+left > lateLimit*objective:
		return tooLate
	case e.State() == workload.Running:
		return onTime
	}
	return late
}
