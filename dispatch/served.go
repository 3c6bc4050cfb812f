package dispatch

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Served says how a submission was served. Each submission is counted once.
type Served int

// Ways in which submissions are served.
const (
	// ServedBefore: the submission was counted earlier, as NotServed.
	ServedBefore Served = iota
	// ServedInTime: it completed within its objective.
	ServedInTime
	// ServedLate: it completed within lateFactor times its objective.
	ServedLate
	// ServedFailed: it failed within that time.
	ServedFailed
	// NotServed: it had not ended by then.
	NotServed
)

// String returns the name in metrics and logs.
func (s Served) String() string {
	return [...]string{"counted before", "in time", "late", "failed", "not served"}[s]
}

// overdueInterval is the time between two searches for submissions that are not served.
const overdueInterval = 500 * time.Millisecond

// emitSubmissionDecision emits a decision about a submission as a whole.
func (m *Machine) emitSubmissionDecision(kind DecisionKind, e *ledger.Entry) {
	d := Decision{
		Kind: kind, Run: workload.RunID{Task: workload.TaskID{Submission: e.ID}}, Reason: e.State().String(),
		Queue: e.Queue, Tenant: e.Tenant, Elapsed: m.wall.Sub(e.DueAt(e.OccurrenceCount() - 1)), Objective: m.servedObjective(e),
		Size: m.sizeOf(e), Work: m.expected(e).work, Started: e.State() != workload.Queued,
	}
	switch kind {
	case SubmissionEnded:
		d.Served = m.servedAtEnd(e)
	case SubmissionOverdue:
		d.Served = NotServed
	}
	if kind == SubmissionBegan {
		m.countStarted(e)
	}
	if kind != SubmissionBegan && d.Served != ServedBefore {
		m.judge(e, d.Served != NotServed)
		if uses := m.times.uses[e]; uses != nil {
			d.Times = *uses
			delete(m.times.uses, e)
		}
		m.times.counted[e] = true
		m.serving.add(&d)
	}
	m.emit(d)
}

// restoreSizes adds the submissions in the ledger to the samples of their queues, in order of
// acceptance, and counts those that became useless before this epoch. A ledger that was read from
// a snapshot doesn't have the sizes of the submissions that had ended by then.
func (m *Machine) restoreSizes() {
	for _, e := range m.ledger.Known() {
		if !e.Guest() {
			m.sizes.add(e)
		}
	}
	for _, e := range m.ledger.Live() {
		if !e.Guest() && !hasLongRunningStep(e) && !m.uselessAt(e).After(m.wall) {
			m.times.counted[e] = true
			m.serving.addInherited(e.Queue, m.sizeOf(e))
		}
	}
}

// recordSize adds a new submission to its queue's sample of sizes.
func (m *Machine) recordSize(e *ledger.Entry) {
	if !e.Guest() && e.State() == workload.Queued {
		m.sizes.add(e)
	}
}

// servedObjective returns the time within which an occurrence is served in time: by the estimates,
// or by the run times of its queue if that is longer.
func (m *Machine) servedObjective(e *ledger.Entry) time.Duration {
	return max(e.Objective(), m.expected(e).objective)
}

// uselessAt returns the wall-clock time from which on the last occurrence of a submission is
// of no more use.
func (m *Machine) uselessAt(e *ledger.Entry) time.Time {
	return e.DueAt(e.OccurrenceCount() - 1).Add(lateFactor * m.servedObjective(e))
}

// servedAtEnd says how a submission that has ended now was served.
func (m *Machine) servedAtEnd(e *ledger.Entry) Served {
	elapsed := m.wall.Sub(e.DueAt(e.OccurrenceCount() - 1))
	switch {
	case m.times.counted[e]:
		return ServedBefore
	case m.wall.After(m.uselessAt(e)):
		return NotServed
	case e.State() == workload.Failed:
		return ServedFailed
	case elapsed <= m.servedObjective(e):
		return ServedInTime
	}
	return ServedLate
}

// reportOverdue emits a decision for each submission that has been of no more use since the
// last search. Submissions with a long-running step never complete, and guests are reported
// by their own cell.
func (m *Machine) reportOverdue() {
	if m.now-m.overdueAt < overdueInterval {
		return
	}
	m.overdueAt = m.now
	for _, e := range m.ledger.Live() {
		if e.Guest() || e.State().Final() || hasLongRunningStep(e) {
			continue
		}
		if !m.times.counted[e] && !m.uselessAt(e).After(m.wall) {
			m.emitSubmissionDecision(SubmissionOverdue, e)
		}
	}
}

// hasBestEffortStep reports whether a submission waits for colocation, which its place in the order
// doesn't decide.
func hasBestEffortStep(e *ledger.Entry) bool {
	return slices.ContainsFunc(e.Steps, func(s workload.Step) bool { return s.BestEffort })
}

func hasLongRunningStep(e *ledger.Entry) bool {
	for i := range e.Steps {
		if e.Steps[i].LongRunning {
			return true
		}
	}
	return false
}
