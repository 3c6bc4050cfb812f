package dispatch

import (
	"cmp"
	"slices"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// MaxKnownEnds limits the ends that an owner passes on, in about 9 kB. An owner tells them to
// every other node at the same time, and its successor waits for one of these answers.
const MaxKnownEnds = 128

// KnownEnd is the end of a run that its worker has listed to an owner. It holds for good,
// whatever the worker answers later.
type KnownEnd struct {
	Worker     workload.Incarnation
	Run        workload.RunID
	Outcome    workload.Outcome
	Checkpoint string
	// LongRunning: the run's task is long-running. Its end is the last to be left out.
	LongRunning bool
}

// EndsLearned reports ends that previous owners knew and may not have recorded.
type EndsLearned struct{ Ends []KnownEnd }

func (EndsLearned) isEvent() {}

// unrecordedEnd is a known end whose record is being appended to the log.
type unrecordedEnd struct {
	KnownEnd
	// callbacks run when the record is in the log.
	callbacks []func()
}

// UnrecordedEnds returns the ends whose records may not be in the log. Those of long-running
// tasks come first, then those of tasks that are done.
func (m *Machine) UnrecordedEnds() []KnownEnd {
	rank := func(u *unrecordedEnd) int {
		switch {
		case u.LongRunning:
			return 0
		case u.Outcome == workload.Succeeded:
			return 1
		}
		return 2
	}
	all := make([]*unrecordedEnd, 0, len(m.unrecorded))
	for _, u := range m.unrecorded {
		all = append(all, u)
	}
	slices.SortFunc(all, func(a, b *unrecordedEnd) int { return cmp.Compare(rank(a), rank(b)) })
	all = all[:min(len(all), MaxKnownEnds)]
	out := make([]KnownEnd, len(all))
	for i, u := range all {
		out[i] = u.KnownEnd
	}
	return out
}

// endsLearned records the ends of runs that are open in the log, so that nobody waits for
// the leases of their workers.
func (m *Machine) endsLearned(ends []KnownEnd) {
	for i := range ends {
		m.endLearned(&ends[i])
	}
}

// endLearned records an end unless the log has it, another run of the task has been placed,
// or the worker has reported the run to this owner.
func (m *Machine) endLearned(end *KnownEnd) {
	if end.Outcome < workload.Succeeded || end.Outcome > workload.MembersMissing || m.unrecorded[end.Run] != nil {
		return
	}
	e := m.ledger.Find(end.Run.Task.Submission)
	if e == nil {
		return
	}
	t := e.Task(end.Run.Task)
	if t == nil || !t.Open || t.Run != end.Run.Run || t.PlacedOn != end.Worker {
		return
	}
	ended := &workload.EndedRun{RunID: end.Run, Outcome: end.Outcome, Checkpoint: end.Checkpoint}
	switch r := m.active[t.ID]; {
	case r != nil && r.id == end.Run && (r.inherited || r.startedBefore):
		m.beginInterruption(r, r.reportedAt, "a previous owner saw it end: "+end.Outcome.String(), waitDetection)
		m.runEnded(r, ended, "a previous owner saw it: ", func() {})
	case r == nil && !e.State().Final() && !m.recordingEnds[t.ID] && !m.releasing[t.ID]:
		m.recordUnknownEnd(e, end.Worker, ended, func() {})
	}
}

// recordEnd appends the record of an end. callback runs when the record is in the log.
func (m *Machine) recordEnd(e *ledger.Entry, worker workload.Incarnation, end *workload.EndedRun, callback func()) {
	u := &unrecordedEnd{
		KnownEnd: KnownEnd{
			Worker: worker, Run: end.RunID, Outcome: end.Outcome, Checkpoint: end.Checkpoint,
			LongRunning: e.Steps[end.Task.Step].LongRunning,
		},
		callbacks: []func(){callback},
	}
	m.unrecorded[end.RunID] = u
	record := ledger.EndedRecord(end.RunID, end.Outcome, end.Checkpoint)
	m.appendRecord(record, func() {
		delete(m.unrecorded, end.RunID)
		live := !e.State().Final()
		m.ledger.Apply(record)
		if end.Checkpoint != "" {
			m.forgetCheckpoint(e, end.Task, end.Run)
		}
		for _, f := range u.callbacks {
			f()
		}
		m.planNeeded = true
		m.returnFinished(e, end.Task)
		if !e.State().Final() {
			return
		}
		if live {
			m.emitSubmissionDecision(SubmissionEnded, e)
			delete(m.transfers.released, e.ID)
		}
		m.entryChanged(e)
	})
}
