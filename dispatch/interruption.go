package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Limits of the reports on interruptions.
const (
	// maxInterruption is how long a long-running task may have no run before that is reported;
	// the platform's users allow 6 s.
	maxInterruption = 6 * time.Second
	// maxInterruptionReports limits the reports of one check.
	maxInterruptionReports = 20
)

// wait is what a task without a run waits for.
type wait string

// Waits of tasks.
const (
	// waitLease: its last run may still be active on a worker that does not answer.
	waitLease wait = "lease of a silent worker"
	// waitLeaseGone: the same, but the worker is not listed any more.
	waitLeaseGone wait = "lease of a worker that is not listed"
	// waitDetection: the end of its last run was not known.
	waitDetection wait = "end of the last run to be learned"
	// waitStop: its last run is being stopped.
	waitStop wait = "stop of the last run"
	// waitRoom: its next run is recorded, and the last ones on the worker are being stopped.
	waitRoom wait = "room"
	// waitStart: a start of it has not been confirmed.
	waitStart wait = "start"
	// waitLog: a record of it is not in the log, or the log is unavailable.
	waitLog wait = "log"
	// waitView: a view is too old to decide about a start.
	waitView wait = "view"
	// waitLongerLease: the owner may only grant leases that are too short for a start.
	waitLongerLease wait = "longer lease"
	// waitStartLimit: as many starts as the owner can carry are in flight.
	waitStartLimit wait = "start limit"
	// waitPlacement: no worker takes it.
	waitPlacement wait = "placement"
)

// interruption is the time of a long-running task between two runs.
type interruption struct {
	entry *ledger.Entry
	// last is the last run, worker the one that it was on.
	last   workload.RunID
	worker string
	// since is when the last run ended, or was last known to be active.
	since time.Duration
	// before: the interruption began before the epoch, at an unknown time.
	before bool
	// cause says how the last run ended.
	cause string
	// waits are the times for which the task has waited, by what for.
	waits map[wait]time.Duration
	// checkedAt is when waits was last updated.
	checkedAt time.Duration
	reported  bool
}

// beginInterruption notes the end of a long-running run. since is when it ended, or was last known
// to be active; the time from then on was spent waiting for w.
func (m *Machine) beginInterruption(r *run, since time.Duration, cause string, w wait) {
	if !r.step.LongRunning || m.interruptions[r.id.Task] != nil {
		return
	}
	o := &interruption{
		entry: r.entry, last: r.id, worker: r.worker.ID(), since: max(since, m.createdAt), before: since < m.createdAt,
		cause: cause, waits: make(map[wait]time.Duration), checkedAt: m.now,
	}
	o.waits[w] = m.now - o.since
	m.interruptions[r.id.Task] = o
}

// inheritInterruptions notes the long-running tasks without a run when the epoch begins.
func (m *Machine) inheritInterruptions() {
	for _, e := range m.ledger.Live() {
		forEachTaskOf(e, func(t *ledger.Task) {
			if t.Run == 0 || t.Open || t.Done || t.Away || !e.Steps[t.ID.Step].LongRunning {
				return
			}
			m.interruptions[t.ID] = &interruption{
				entry: e, last: workload.RunID{Task: t.ID, Run: t.Run}, worker: t.PlacedOn.Worker, since: m.now, before: true,
				cause: "ended before the epoch", waits: make(map[wait]time.Duration), checkedAt: m.now,
			}
		})
	}
}

// endInterruption reports the interruption before a run that has been confirmed.
func (m *Machine) endInterruption(r *run) {
	o := m.interruptions[r.id.Task]
	if o == nil {
		return
	}
	m.updateInterruption(r.id.Task, o)
	delete(m.interruptions, r.id.Task)
	m.emit(Decision{
		Kind: InterruptionEnded, Run: r.id, Worker: r.worker.ID(), Reason: o.describe(), Age: m.now - o.since, Waits: o.waitTimes(),
	})
}

// updateInterruptions adds the time since the last check to what each task without a run waits for,
// and reports, once each, those that have had none for maxInterruption.
func (m *Machine) updateInterruptions() {
	reports := 0
	for _, id := range m.interruptedTasks() {
		o := m.interruptions[id]
		if t := o.entry.Task(id); o.entry.State().Final() || t == nil || t.Away {
			delete(m.interruptions, id)
			continue
		}
		m.updateInterruption(id, o)
		if o.reported || m.now-o.since < maxInterruption || reports >= maxInterruptionReports {
			continue
		}
		o.reported = true
		reports++
		m.emitDecision(InterruptionLong, o.last, o.worker, o.describe()+"; now waits for: "+m.explainInterruption(id), m.now-o.since)
	}
}

// interruptedTasks returns the tasks without a run, those that have been without one for longest
// first.
func (m *Machine) interruptedTasks() []workload.TaskID {
	return slices.SortedFunc(maps.Keys(m.interruptions), func(a, b workload.TaskID) int {
		return cmp.Or(cmp.Compare(m.interruptions[a].since, m.interruptions[b].since), cmp.Compare(a.Submission, b.Submission),
			cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
	})
}

// noteWait adds the time since the last check to what a task waits for, before that changes.
func (m *Machine) noteWait(id workload.TaskID) {
	if o := m.interruptions[id]; o != nil {
		m.updateInterruption(id, o)
	}
}

func (m *Machine) updateInterruption(id workload.TaskID, o *interruption) {
	o.waits[m.waitOf(id)] += m.now - o.checkedAt
	o.checkedAt = m.now
}

// waitOf returns what a task that has no confirmed run waits for.
func (m *Machine) waitOf(id workload.TaskID) wait {
	switch r := m.active[id]; {
	case r != nil && r.ahead:
		return waitRoom
	case m.recordingEnds[id] || m.releasing[id] || r != nil && (r.phase == recording || r.phase == ending):
		return waitLog
	case r == nil:
		return m.placementWait()
	case r.worker.silent:
		return r.worker.lossWait()
	case r.phase == stopping:
		return waitStop
	case m.startBlocker(r) == leaseTooShort:
		return waitLongerLease
	}
	return waitStart
}

// lossWait returns what the tasks of a worker have waited for until their runs were found lost.
func (w *worker) lossWait() wait {
	switch {
	case !w.silent:
		return waitDetection
	case !w.listed:
		return waitLeaseGone
	}
	return waitLease
}

// placementWait returns what keeps tasks from being placed.
func (m *Machine) placementWait() wait {
	switch {
	case m.logStalled():
		return waitLog
	case m.viewExpired():
		return waitView
	case m.config.grantable() < minStartLease:
		return waitLongerLease
	case m.starts.room() <= 0:
		return waitStartLimit
	}
	return waitPlacement
}

// explainInterruption describes what a task waits for. For a placement it counts the workers by why
// they do not take it.
func (m *Machine) explainInterruption(id workload.TaskID) string {
	w := m.waitOf(id)
	if w != waitPlacement {
		return string(w)
	}
	for _, long := range m.longRunningWaits {
		if _, waits := long.since[id]; waits {
			return fmt.Sprintf("%s; %v", w, m.explainWait(&long.waiting))
		}
	}
	return string(w)
}

// describe returns how the last run ended and what the task has waited for since.
func (o *interruption) describe() string {
	parts := []string{fmt.Sprintf("run %d on %s: %s", o.last.Run, o.worker, o.cause)}
	if o.before {
		parts = append(parts, "without a run since before the epoch")
	}
	for _, w := range slices.Sorted(maps.Keys(o.waits)) {
		if d := o.waits[w].Round(time.Millisecond); d > 0 {
			parts = append(parts, fmt.Sprintf("%v for %s", d, w))
		}
	}
	return strings.Join(parts, "; ")
}

// waitTimes returns the times of waits by name.
func (o *interruption) waitTimes() map[string]time.Duration {
	out := make(map[string]time.Duration, len(o.waits))
	for w, d := range o.waits {
		out[string(w)] = d
	}
	return out
}
