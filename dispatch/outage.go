package dispatch

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// outage is the end of an incarnation, or a long silence.
type outage struct {
	address string
	// heardAt is when the worker was last heard before it, seenAt when it was first found
	// silent. The outage began between the two.
	heardAt time.Duration
	seenAt  time.Duration
	// suspects are the runs that may have caused it.
	suspects []workload.RunID
	// unit is the first of the suspects if they are of one task, or one gang.
	unit *run
	// isolated: the suspects are isolated, so there is no other.
	isolated bool
	// incarnation is the worker's incarnation before the outage.
	incarnation workload.Incarnation
}

// overlaps reports whether two outages may have begun at the same time.
func (o *outage) overlaps(other *outage) bool {
	return o.heardAt <= other.seenAt+outageMargin && other.heardAt <= o.seenAt+outageMargin
}

// sharesTask reports whether a task, or a gang, is suspected of both outages.
func (o *outage) sharesTask(other *outage) bool {
	gang := o.unit != nil && o.unit.step.Gang
	return slices.ContainsFunc(o.suspects, func(a workload.RunID) bool {
		return slices.ContainsFunc(other.suspects, func(b workload.RunID) bool {
			if gang {
				b.Task.Index = a.Task.Index
			}
			return a.Task == b.Task
		})
	})
}

// outageOf describes the outage of a worker that has been silent since it was last heard.
func (w *worker) outageOf(now time.Duration) outage {
	o := outage{address: w.Address, heardAt: w.clockAt, seenAt: now, incarnation: w.Incarnation}
	if w.silent {
		o.seenAt = w.silentAt
	}
	for _, r := range w.runList {
		if r.survived || r.phase == recording || r.phase == recorded {
			continue
		}
		switch {
		case len(o.suspects) == 0:
			o.unit = r
		case o.unit != nil && !sameUnit(o.unit, r):
			o.unit = nil
		}
		o.suspects = append(o.suspects, r.id)
	}
	o.isolated = o.unit != nil && o.unit.isolated
	return o
}

// sameUnit reports whether two runs are members of one run of a gang.
func sameUnit(a, b *run) bool {
	x, y := a.id.Task, b.id.Task
	return a.step.Gang && a.entry == b.entry && x.Step == y.Step && x.Occurrence == y.Occurrence && a.id.Run == b.id.Run
}
