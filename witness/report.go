package witness

import (
	"math"
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// ReportUnit is the unit of the times in a report.
const ReportUnit = 50 * time.Millisecond

// unlimited stands for the expiry of leases of which no report tells.
const unlimited = time.Duration(math.MaxInt64)

// Report tells a witness by when the leases that an owner has granted, and those that it grants
// before a majority of its witnesses holds a later report, have expired.
type Report struct {
	// Number is that of the report: those of an epoch are numbered in their order, from 1.
	Number int64
	// Numbering is that of the workers. An owner numbers them in the order in which it first
	// reports them, and anew in each numbering. A later one has a higher number.
	Numbering int64
	// Workers are those from number FirstWorker on; the receiver knows the others.
	FirstWorker int
	Workers     []workload.Incarnation
	// Expiry is the time, for each worker, from the call until all leases have expired, in
	// units of ReportUnit. 0: the report doesn't say.
	Expiry []byte
}

// Known is how many workers of a numbering a process knows.
type Known struct {
	Numbering int64
	Workers   int
}

// later returns the one of two from which the process knows more.
func (k Known) later(other Known) Known {
	if k.Numbering > other.Numbering || k.Numbering == other.Numbering && k.Workers > other.Workers {
		return k
	}
	return other
}

// numbering numbers workers in the order in which they are first reported.
type numbering struct {
	number  int64
	numbers map[workload.Incarnation]int
	all     []workload.Incarnation
}

func newNumbering(number int64) *numbering {
	return &numbering{number: number, numbers: make(map[workload.Incarnation]int)}
}

// add numbers a worker that has no number yet.
func (n *numbering) add(worker workload.Incarnation) {
	if _, known := n.numbers[worker]; !known {
		n.numbers[worker] = len(n.all)
		n.all = append(n.all, worker)
	}
}
