package dispatch

import (
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// inheritRuns takes over the runs that previous owners placed and whose end is not in the
// log. Those of final submissions take capacity until they have been stopped.
func (m *Machine) inheritRuns() {
	for _, e := range m.ledger.Live() {
		m.inheritRunsOf(e, false)
	}
	for _, e := range m.ledger.Abandoned() {
		m.inheritRunsOf(e, true)
	}
	m.inheritSurvival()
	m.inheritLost()
}

// inheritRunsOf takes over the runs of an entry. final: they must be stopped.
func (m *Machine) inheritRunsOf(e *ledger.Entry, final bool) {
	forEachTaskOf(e, func(t *ledger.Task) {
		if t.Done || !t.Open {
			return
		}
		w := m.inheritWorker(t.PlacedOn, t.PlacedAt)
		if w.Incarnation != t.PlacedOn && !t.EndsConnections {
			return
		}
		r := m.newRun(e, t, t.Run, w)
		r.phase, r.inherited, r.stopRequested = starting, true, final
		r.order = t.Order
		if w.Incarnation != t.PlacedOn {
			w.removeRun(r, m.now)
			m.stopOnNext(w, r)
			r.unanswered = true // the next tick sends the stop
			w.leasesExpireAt = max(w.leasesExpireAt, m.formerGrantsExpireAt(w))
			return
		}
		w.freshFrom = max(w.freshFrom, t.FreshFrom)
		if final {
			// The next tick sends the stop, as one that had no answer.
			r.phase, r.commandInFlight, r.unanswered = stopping, true, true
		}
	})
	if final && m.hasRunsLeft(e.ID) {
		m.noteFinal(e)
	}
}

// StoppingRuns returns the runs of cancelled and failed submissions that may be active.
func (m *Machine) StoppingRuns() []workload.RunID {
	var out []workload.RunID
	for _, w := range m.sorted {
		for _, r := range w.runList {
			if state := r.entry.State(); state == workload.Cancelled || state == workload.Failed {
				out = append(out, r.id)
			}
		}
	}
	return out
}

// forEachTaskOf calls f for the tasks of an entry whose state has been allocated.
func forEachTaskOf(e *ledger.Entry, f func(t *ledger.Task)) {
	for number := range e.OccurrenceCount() {
		if !e.HasOccurrence(number) {
			continue
		}
		o := e.Occurrence(number)
		for s := range o.Steps {
			for i := range o.Steps[s].Tasks {
				f(&o.Steps[s].Tasks[i])
			}
		}
	}
}

// inheritWorker returns the worker of an inherited run. Its incarnation is a newer one if a run on
// that one shows that the given incarnation has ended. The recorded address
// reaches a worker that is not listed any more: its runs must be stopped, and a crash of it
// must be seen to count.
func (m *Machine) inheritWorker(incarnation workload.Incarnation, address string) *worker {
	w := m.workers[incarnation.Worker]
	switch {
	case w == nil:
		w = m.addWorker(workload.Worker{Incarnation: incarnation})
	case incarnation.StartMillis < w.StartMillis:
		return w
	case incarnation.StartMillis > w.StartMillis:
		w.Address = ""
		m.workerRestarted(w, incarnation)
	}
	if address != "" {
		w.Address = address
	}
	w.predecessorsExpireAt = m.now + m.predecessorExpiry(incarnation)
	return w
}

// inheritSurvival clears the inherited runs that had survived when a previous owner placed
// another one on their worker, and those beside an isolated one. A previous owner placed
// that one when they had survived, and no other until its Survived record, which is not in
// the log.
func (m *Machine) inheritSurvival() {
	for _, w := range m.sorted {
		for _, r := range w.runList {
			r.survived = r.survived || !r.isolated && (w.isolated > 0 || r.order < w.freshFrom)
		}
	}
}
