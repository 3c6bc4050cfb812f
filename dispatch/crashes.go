package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// Attribution of crashes.
const (
	// survivalTime is the time, on the worker's clock, after which a run that was started
	// is not suspected of a crash any more.
	survivalTime = 300 * time.Millisecond
	// outageMargin covers the delays with which outages that begin together are seen.
	outageMargin = 100 * time.Millisecond
	// minOutage is the silence from which it counts as an outage.
	minOutage = 1500 * time.Millisecond
	// unexplainedLimit is the number of outages without suspects within unexplainedTime
	// from which workers are taken to go away for reasons of their own.
	unexplainedLimit = 2
	unexplainedTime  = 10 * time.Second
	// outageMemory is the time for which outages are remembered.
	outageMemory = time.Minute
)

// crashes is what an owner remembers of the outages of workers.
type crashes struct {
	// outages are those of the last outageMemory.
	outages []outage
	// lost are the workers whose leases have expired, by address. Whether they crashed
	// is known when another incarnation is listed there.
	lost map[string]outage
	// listed are the workers of all cells.
	listed []workload.Worker
}

func newCrashes() crashes { return crashes{lost: make(map[string]outage)} }

// workerCrashed handles the end of an incarnation that didn't announce it. It is called
// before the runs are abandoned. The list of workers may still contain an incarnation
// whose end has been handled; this owner has not heard that one.
func (m *Machine) workerCrashed(w *worker, reason string) {
	if w.Draining {
		return
	}
	o := w.outageOf(m.now)
	if lost, ok := m.crashes.lost[w.Address]; ok && lost.incarnation == w.Incarnation && !slices.Contains(o.suspects, lost.suspects[0]) {
		// The suspects of the crash were abandoned when the leases expired.
		m.attribute(lost, reason)
		if len(o.suspects) == 0 {
			return
		}
	}
	if w.clockAt == 0 && len(w.runs) == 0 {
		return
	}
	m.attribute(o, reason)
}

// workerLost handles the expiry of a silent worker's leases: it may have crashed, or may
// only be cut off.
func (m *Machine) workerLost(w *worker) {
	o := w.outageOf(m.now)
	m.remember(o)
	if o.address == "" || len(o.suspects) == 0 || w.Draining {
		return
	}
	if m.hasSuccessor(&o) {
		m.attribute(o, "another worker is listed at the address")
		return
	}
	m.addLost(o)
	if !o.isolated {
		m.recordCrash(&o, 0)
		return
	}
	m.recordSuspects(&o, ledger.LostRecord(o.incarnation, o.address, o.suspects), 0)
}

// hasSuccessor reports whether a newer worker is listed at the address of an outage.
func (m *Machine) hasSuccessor(o *outage) bool {
	newer := func(w *workload.Worker) bool {
		return w.Address == o.address && w.StartMillis > o.incarnation.StartMillis
	}
	return slices.ContainsFunc(m.sorted, func(w *worker) bool { return w.listed && newer(&w.Worker) }) ||
		slices.ContainsFunc(m.crashes.listed, func(w workload.Worker) bool { return newer(&w) })
}

// addLost remembers a worker of which it is not known whether it crashed. Of two that were
// at one address, the older one did.
func (m *Machine) addLost(o outage) {
	known, ok := m.crashes.lost[o.address]
	if ok && known.incarnation != o.incarnation {
		if o.incarnation.StartMillis < known.incarnation.StartMillis {
			o, known = known, o
		}
		m.attribute(known, "another worker was at the address")
	}
	m.crashes.lost[o.address] = o
}

// inheritLost takes over the lost runs of which no previous owner could tell whether they
// crashed their workers.
func (m *Machine) inheritLost() {
	for _, e := range m.ledger.Live() {
		if !e.EverSuspected() {
			continue
		}
		forEachTaskOf(e, func(t *ledger.Task) {
			for _, u := range t.Undecided {
				suspect := workload.RunID{Task: t.ID, Run: u.Run}
				m.addLost(outage{address: u.Address, seenAt: m.now, suspects: []workload.RunID{suspect}, isolated: true, incarnation: u.On})
			}
		})
	}
}

// awaitsDecision reports whether a task must not be started until it is known whether its
// lost runs crashed their workers: all of them together would suffice to give it up. After
// outageMemory the wait ends, because a worker that is gone for good leaves it open.
func (m *Machine) awaitsDecision(e *ledger.Entry, t *ledger.Task) bool {
	if !e.CrashLimitPending(t) {
		return false
	}
	return slices.ContainsFunc(e.CrashRecordOf(t).Undecided, func(u ledger.LostRun) bool {
		o, ok := m.crashes.lost[u.Address]
		return ok && o.incarnation == u.On && m.now-o.seenAt < outageMemory
	})
}

// checkSuccessor attributes the crash of a lost worker when a new incarnation is listed
// at its address.
func (m *Machine) checkSuccessor(info *workload.Worker) {
	o, ok := m.crashes.lost[info.Address]
	if !ok || info.StartMillis <= o.incarnation.StartMillis {
		return
	}
	delete(m.crashes.lost, info.Address)
	m.attribute(o, "another worker is listed at the address")
}

// clearLost clears the runs that were suspected because the leases of a worker expired
// that has answered since.
func (m *Machine) clearLost(w *worker) {
	if lost, ok := m.crashes.lost[w.Address]; ok && lost.incarnation == w.Incarnation {
		delete(m.crashes.lost, w.Address)
		m.clearSuspects(lost.suspects)
	}
}

// noteSilence remembers the outage of a worker that answers again.
func (m *Machine) noteSilence(w *worker) {
	if w.clockAt > 0 && m.now-w.clockAt >= minOutage {
		m.remember(w.outageOf(m.now))
	}
}

func (m *Machine) remember(o outage) {
	m.crashes.outages = slices.DeleteFunc(m.crashes.outages, func(old outage) bool { return m.now-old.heardAt > outageMemory })
	m.crashes.outages = append(m.crashes.outages, o)
}

// attribute records a crash with its suspects. Only a crash under an isolated start is
// evidence: healthy tasks, too, are started shortly before a worker crashes.
func (m *Machine) attribute(o outage, reason string) {
	evidence, other := 0, ""
	if o.isolated {
		evidence = ledger.StrongEvidence
		if other = m.otherCause(&o); other != "" {
			evidence = ledger.WeakEvidence
		}
	}
	m.remember(o)
	if lost, ok := m.crashes.lost[o.address]; ok && lost.incarnation == o.incarnation {
		delete(m.crashes.lost, o.address)
	}
	first := workload.RunID{}
	switch {
	case len(o.suspects) == 0:
		reason += "; no run was being started"
	case evidence == 0:
		reason += fmt.Sprintf("; %d runs were being started", len(o.suspects))
	case other == "":
		reason += "; strong evidence against the task"
	default:
		reason += "; weak evidence against the task: " + other
	}
	if len(o.suspects) > 0 {
		first = o.suspects[0]
	}
	m.emitDecision(WorkerCrashed, first, o.incarnation.Worker, reason, m.now-o.heardAt)
	if len(o.suspects) > 0 {
		m.recordCrash(&o, evidence)
	}
}

// otherCause returns why a crash under an isolated start may have another cause, or "".
func (m *Machine) otherCause(o *outage) string {
	if o.heardAt == 0 {
		return "the worker was not heard in this epoch"
	}
	for _, w := range m.sorted {
		if !w.silent || w.ID() == o.incarnation.Worker || len(w.runList) == 0 || m.now-w.clockAt < minOutage {
			continue
		}
		if other := w.outageOf(m.now); !other.isolated && other.overlaps(o) {
			return "worker " + w.ID() + " has been silent since then"
		}
	}
	unexplained := 0
	for i := range m.crashes.outages {
		old := &m.crashes.outages[i]
		if len(old.suspects) == 0 && m.now-old.seenAt <= unexplainedTime {
			unexplained++
		}
		switch {
		case old.incarnation == o.incarnation:
		case old.address == o.address && o.sharesTask(old):
			// The worker may crash by itself: only another one tells the two apart.
			return "the worker crashed under the task before"
		case old.isolated:
		case old.overlaps(o):
			return "worker " + old.incarnation.Worker + " was away at that time"
		case old.address == o.address && len(old.suspects) == 0:
			return "the worker was away before without a suspect"
		}
	}
	if unexplained >= unexplainedLimit {
		return "workers go away without suspects"
	}
	return ""
}

// recordCrash records the suspects of a crash.
func (m *Machine) recordCrash(o *outage, evidence int) {
	m.recordSuspects(o, ledger.CrashedRecord(o.incarnation, o.suspects, evidence), evidence)
}

// recordSuspects appends a record of suspects, whose tasks are not placed before it is in
// the log.
func (m *Machine) recordSuspects(o *outage, record *ledgerpb.Record, evidence int) {
	var blocked []workload.TaskID
	for _, s := range o.suspects {
		if e := m.ledger.Find(s.Task.Submission); e != nil && !e.State().Final() && !m.recordingEnds[s.Task] {
			m.recordingEnds[s.Task] = true
			m.addOccupied(e, s.Task, 1)
			blocked = append(blocked, s.Task)
		}
	}
	m.appendRecord(record, func() {
		m.ledger.Apply(record)
		for _, id := range blocked {
			delete(m.recordingEnds, id)
			if e := m.ledger.Find(id.Submission); e != nil {
				m.addOccupied(e, id, -1)
			}
		}
		m.planNeeded = true
		if evidence > 0 {
			m.checkGivenUp(o)
		}
	})
}

// checkGivenUp ends a task, or a gang, against which the evidence has become conclusive.
func (m *Machine) checkGivenUp(o *outage) {
	s := o.suspects[0]
	e := m.ledger.Find(s.Task.Submission)
	if e == nil || e.State().Final() && e.State() != workload.Failed {
		return
	}
	t := e.Task(s.Task)
	if t == nil || !e.CrashLimitReached(t) {
		return
	}
	m.emitDecision(TaskGivenUp, s, o.incarnation.Worker, "workers crashed under its isolated starts", 0)
	m.returnFinished(e, s.Task)
	if e.State().Final() {
		m.emitSubmissionDecision(SubmissionEnded, e)
		delete(m.transfers.released, e.ID)
		m.entryChanged(e)
	}
}

// observeSurvival clears the runs on a worker that has outlasted their starts, at a
// reading of its clock.
func (m *Machine) observeSurvival(w *worker, clock time.Duration) {
	for _, r := range w.runList {
		switch {
		case r.survived || r.phase != running:
		case r.activeFrom == 0:
			r.activeFrom = clock
		case clock-r.activeFrom >= survivalTime:
			m.runSurvived(r)
		}
	}
}

// untilSurvived returns the time until the worker of a run has outlasted its start by survivalTime for
// certain, even if its clock runs as slowly as clockDrift allows.
func (r *run) untilSurvived(now time.Duration) time.Duration {
	left := survivalTime
	if w := r.worker; r.activeFrom > 0 {
		left -= w.clock - r.activeFrom
		return time.Duration(float64(left)/(1-clockDrift)) - (now - w.clockAt)
	}
	return left
}

// runSurvived records that a run is not suspect, and clears its task.
func (m *Machine) runSurvived(r *run) {
	r.survived = true
	if r.isolated {
		r.isolated = false
		r.worker.isolated--
		m.planNeeded = true
	}
	if !r.entry.CrashRecordOf(r.task).Suspect || r.step.Gang && !m.gangSurvived(r) {
		return
	}
	record := ledger.SurvivedRecord(r.id)
	m.appendRecord(record, func() { m.ledger.Apply(record) })
}

// clearSuspects clears tasks whose runs have not crashed their worker. A gang may still
// have crashed the worker of another member.
func (m *Machine) clearSuspects(suspects []workload.RunID) {
	for _, s := range suspects {
		e := m.ledger.Find(s.Task.Submission)
		if e == nil || e.State().Final() || e.Steps[s.Task.Step].Gang {
			continue
		}
		record := ledger.SurvivedRecord(s)
		m.appendRecord(record, func() {
			m.ledger.Apply(record)
			r := m.active[s.Task]
			if r != nil && r.isolated && r.worker.runs[r.id] == r && !e.CrashRecordOf(r.task).Suspect {
				r.isolated = false
				r.worker.isolated--
			}
			m.planNeeded = true
		})
	}
}

// gangSurvived reports whether all members of a run's gang have survived.
func (m *Machine) gangSurvived(r *run) bool {
	survived := 0
	for _, other := range m.byEntry[r.entry.ID] {
		if other.survived && (other == r || sameUnit(other, r)) {
			survived++
		}
	}
	return survived == r.step.Tasks
}
