package dispatch

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// heartbeatIfDue sends a heartbeat if one is due to a worker that has runs or ends
// to acknowledge, or that is not known to answer.
func (m *Machine) heartbeatIfDue(w *worker) {
	if w.heartbeatInFlight || m.now < w.nextHeartbeatAt || w.Address == "" || m.awaitsList() {
		return
	}
	if w.reported && !w.needsHeartbeat(m.now) && !w.isUnusableUntilHeard() && !m.needsAnswer(w) {
		return
	}
	h := Heartbeat{Target: w.target(), Cursor: w.cursor}
	lease, shortfall := m.grantableLease(w)
	if shortfall > maxLeaseShortfall && m.now < w.clockAt+reportTime && w.heartbeatInterval() > urgentHeartbeatInterval && !w.silent {
		// The lease will be longer when the witnesses know of the worker's answer.
		return
	}
	switch {
	case !w.reported || w.clock == 0:
		// The first heartbeat reads the worker's clock, without which no lease can be
		// granted.
	case !w.hasLiveRuns():
		// The lease of runs that are to be stopped must expire if no stop is carried out. A run that
		// starts meanwhile must not wait long for its first heartbeat.
		if slices.ContainsFunc(w.runList, func(r *run) bool { return r.phase == stopping }) {
			h.Wait = m.endWait(w)
		}
	case w.bar != leasesAllowed:
		// A successor may rely on the record of the worker's silence.
	case w.gone:
		// The worker must be heard first: a lease would have to be waited for.
	case w.silent:
		// An unanswered heartbeat may have been carried out, so it must not renew the
		// lease: the lease of a worker that has failed must expire.
	case lease <= 0:
		// Each lease must have expired when a successor expects it to have.
	default:
		h.Deadline = w.extendLease(m.now, lease)
		// The next heartbeat must be in time to extend a lease that is short.
		h.Wait = min(m.endWait(w), (lease / 2).Truncate(time.Millisecond))
		if shortfall > maxLeaseShortfall {
			h.Wait = min(h.Wait, reportTime)
		}
	}
	if h.Deadline > 0 {
		w.noteGrant(m.now)
	}
	w.heartbeatInFlight = true
	m.emit(h)
}

// awaitsList reports whether heartbeats wait for the list of workers, without which an
// inherited worker is not known to drain. Leases must be extended in time all the same.
func (m *Machine) awaitsList() bool { return !m.listRead && m.now-m.createdAt < listTime }

func (m *Machine) heartbeatFailed(ev HeartbeatFailed) {
	w := m.workers[ev.Worker]
	if w == nil {
		return
	}
	toFormer := w.heartbeatToFormer
	w.heartbeatInFlight, w.heartbeatToFormer = false, false
	if toFormer && ev.Answer == NoAnswer {
		// The silence of the former incarnation says nothing of this one.
		return
	}
	w.nextHeartbeatAt = m.now + heartbeatRetryDelay
	switch ev.Answer {
	case Fenced:
		m.emit(StepDown{Worker: w.ID()})
	case WrongWorker:
		m.workerCrashed(w, "another worker answers at the address")
		m.abandonRuns(w, "another worker answers at the address")
		w.listed, w.unknownRuns = false, nil
		w.gone, w.leaseDeadline = true, 0
		w.ackedCursor = w.cursor
		return
	}
	if !w.silent {
		w.silentAt = m.now
		m.emitDecision(WorkerSuspected, workload.RunID{}, w.ID(), ev.Answer.String(), m.now-w.clockAt)
	}
	w.silent = true
	m.releasePlaces()
}

func (m *Machine) heartbeatAnswered(ev HeartbeatAnswered) {
	w := m.workers[ev.Worker]
	if w == nil {
		return
	}
	w.heartbeatInFlight, w.heartbeatToFormer = false, false
	report := &ev.Report
	switch {
	case report.Incarnation.StartMillis > w.StartMillis:
		m.workerRestarted(w, report.Incarnation)
	case report.Incarnation.StartMillis < w.StartMillis:
		return
	}
	m.clearLost(w)
	if w.silent {
		m.noteSilence(w)
		m.emitDecision(WorkerTrusted, workload.RunID{}, w.ID(), "answered a heartbeat", m.now-w.clockAt)
		m.planNeeded = true
	}
	if !w.reported {
		m.planNeeded = true
	}
	w.silent, w.gone = false, false
	m.endSilence(w)
	w.endsConnections = report.ConnectionEnded
	w.updateClock(m.now, report.Clock)
	w.ackedCursor = max(w.ackedCursor, min(w.cursor, m.acknowledgedCursor(ev, w)))
	first := !w.reported
	if first {
		w.fencePredecessors(m.now, m.config.longestLease())
		w.countFormerGrants(m.now, report.Clock, m.config.longestWorkerLease())
	}
	w.reported = true
	m.processEnds(w, report.Ended)
	m.processActive(w, ev, report.Active)
	m.startRecorded(w)
	m.observeSurvival(w, report.Clock)
	m.observeInterference(w)
	m.controlPaces(w)
	w.nextHeartbeatAt = m.now
	if !first {
		w.nextHeartbeatAt += w.heartbeatInterval()
	}
	m.watchClearing(w)
}

// acknowledgedCursor returns the cursor that the worker has applied, which is below
// all ends that it still lists.
func (m *Machine) acknowledgedCursor(ev HeartbeatAnswered, w *worker) int64 {
	lowest := w.cursor
	for i := range ev.Report.Ended {
		lowest = min(lowest, ev.Report.Ended[i].Sequence-1)
	}
	return lowest
}

// processEnds handles the ends that are listed for the first time.
func (m *Machine) processEnds(w *worker, ends []workload.EndedRun) {
	for i := range ends {
		end := &ends[i]
		if end.Sequence <= w.lastEnd {
			continue
		}
		w.addEnd(end.Sequence)
		m.processEnd(w, end)
	}
}

func (m *Machine) processEnd(w *worker, end *workload.EndedRun) {
	incarnation := w.Incarnation
	advance := func() {
		// A new incarnation of the worker numbers its ends from 1 again.
		if w.Incarnation == incarnation {
			w.endRecorded(end.Sequence)
		}
	}
	if u := m.unrecorded[end.RunID]; u != nil {
		// A previous owner saw the end, or the previous incarnation listed it.
		u.callbacks = append(u.callbacks, advance)
		return
	}
	r := w.runs[end.RunID]
	if r == nil {
		m.processUnknownEnd(w, end, advance)
		return
	}
	m.runEnded(r, end, "", advance)
}

// runEnded handles the end of a run that the machine has. recorded runs when the end is in
// the log.
func (m *Machine) runEnded(r *run, end *workload.EndedRun, source string, recorded func()) {
	w := r.worker
	m.emitDecision(RunEnded, end.RunID, w.ID(), source+end.Outcome.String(), 0)
	m.updateHistory(w, r, end.Outcome)
	if end.Outcome == workload.Errored && !r.step.Gang {
		m.runSurvived(r)
	}
	m.beginInterruption(r, m.now, end.Outcome.String(), waitLog)
	m.endTargetMiss(r)
	w.removeRun(r, m.now)
	r.phase, r.inherited = ending, false
	m.noteRunGone(r.entry)
	if end.Outcome != workload.Succeeded || r.step.LongRunning {
		m.stopGang(r)
	}
	m.recordEnd(r.entry, w.Incarnation, end, func() {
		recorded()
		m.removeRun(r)
	})
	m.planNeeded = true
}

// processUnknownEnd handles the end of a run that this machine has removed or never
// had. The end is recorded only if no newer run of the task has been placed and the
// task has no run.
func (m *Machine) processUnknownEnd(w *worker, end *workload.EndedRun, advance func()) {
	e := m.ledger.Find(end.Task.Submission)
	if e == nil || e.State().Final() {
		advance()
		return
	}
	t := e.Task(end.Task)
	if t == nil || t.Run != end.Run || m.active[end.Task] != nil {
		advance()
		return
	}
	m.recordUnknownEnd(e, w.Incarnation, end, advance)
}

// recordUnknownEnd records the end of a run that this machine does not have. The task is
// not placed before the record is in the log.
func (m *Machine) recordUnknownEnd(e *ledger.Entry, worker workload.Incarnation, end *workload.EndedRun, recorded func()) {
	m.recordingEnds[end.Task] = true
	m.addOccupied(e, end.Task, 1)
	m.recordEnd(e, worker, end, func() {
		recorded()
		delete(m.recordingEnds, end.Task)
		m.addOccupied(e, end.Task, -1)
	})
}

// stopGang stops the other members of a run's gang, if its step is one.
func (m *Machine) stopGang(ended *run) {
	if !ended.step.Gang {
		return
	}
	for _, r := range m.byEntry[ended.entry.ID] {
		same := r.id.Task.Step == ended.id.Task.Step && r.id.Task.Occurrence == ended.id.Task.Occurrence
		if same && r != ended && r.id.Run == ended.id.Run {
			m.stopRun(r, "another member of the gang ended")
		}
	}
}

// processActive compares the active runs that a worker lists with those placed on
// it.
func (m *Machine) processActive(w *worker, ev HeartbeatAnswered, active []workload.ActiveRun) {
	listed := make(map[workload.RunID]bool, len(active))
	listedBefore := w.unknownRuns
	w.unknownRuns = nil
	for i := range active {
		a := &active[i]
		listed[a.RunID] = true
		r := w.runs[a.RunID]
		if r == nil {
			m.stopUnknownRun(w, a.RunID, listedBefore[a.RunID])
			continue
		}
		m.updateRun(r, a)
		if r.phase == stopping && r.stopShouldHaveEnded(ev.SentAt, m.config.StopTime) {
			m.sendStop(r)
		}
	}
	if ev.Report.EndsIncomplete {
		// A run that isn't listed may have ended. Its end is listed when the others have been
		// recorded and acknowledged.
		return
	}
	for _, r := range w.runList {
		if !listed[r.id] {
			m.handleUnlistedRun(r, ev.SentAt)
		}
	}
}

// stopUnknownRun stops a run that this machine does not have on the worker: one
// that a previous owner started for a submission that is final now, or one that
// has been removed. What it requests is not known, so the worker is given no runs until it
// has been stopped. listed: the previous report listed the run as well.
func (m *Machine) stopUnknownRun(w *worker, id workload.RunID, listed bool) {
	if current := m.active[id.Task]; current != nil && current.id == id && current.phase == ending {
		return
	}
	w.addUnknownRun(id)
	m.tenants.unlisted = nil
	if !listed {
		m.reportUnknownRun(w, id)
	}
	w.unknownRunsExpireAt = m.now + LeaseExpiryBound(m.config.longestLease())
	w.pausedUntil = max(w.pausedUntil, m.now+m.config.StopTime+stopMargin)
	m.emitDecision(RunStopped, id, w.ID(), "run is not needed", 0)
	m.emit(Stop{Target: w.target(), Run: id})
}

func (m *Machine) updateRun(r *run, a *workload.ActiveRun) {
	if r.phase == starting {
		m.confirmRun(r)
	}
	if r.inherited {
		m.adoptPace(r, a.UsedMilliCPU)
	}
	r.inherited = false
	if a.Checkpoint != "" && a.Checkpoint != r.checkpoint {
		r.checkpoint = a.Checkpoint
		r.progressAt = m.now
	}
	if a.ProgressPercent != r.progressPercent {
		r.progressAt = m.now
	}
	r.reportedAt = m.now
	r.progressPercent = a.ProgressPercent
	r.tailLatency, r.usedMilliCPU = a.TailLatency, a.UsedMilliCPU
}

// handleUnlistedRun handles a run that its worker does not list as active. The
// report is conclusive only if its heartbeat was sent after the worker confirmed
// the run or its stop.
func (m *Machine) handleUnlistedRun(r *run, sentAt time.Duration) {
	switch r.phase {
	case starting:
		switch {
		case r.commandInFlight:
		case r.inherited:
			m.resumeInherited(r)
		case r.unanswered:
			m.stopBlocked(r)
		}
	case running:
		if sentAt > r.confirmedAt {
			m.stopRun(r, "worker does not list the run")
		}
	case stopping:
		if r.stopShouldHaveEnded(sentAt, m.config.StopTime) || r.formerStopShouldHaveEnded(sentAt, m.config.StopTime) {
			m.emitDecision(RunStopped, r.id, r.worker.ID(), "worker no longer lists the run", m.now-r.confirmedAt)
			m.keepCheckpoint(r)
			m.beginInterruption(r, r.reportedAt, "stopped, its end was not listed", waitStop)
			m.removeRun(r)
		}
	}
}

// resumeInherited starts or stops a run that a previous owner recorded and the
// worker does not list. It is stopped rather than removed because a delayed start
// of the previous owner may still be carried out.
func (m *Machine) resumeInherited(r *run) {
	reason := m.startBlocker(r)
	if (reason == viewTooOld || reason == leaseTooShort || !m.listRead) && !r.stopRequested {
		// A later report decides, when the views have been read.
		return
	}
	r.inherited = false
	r.entry.NoteRunNotFound()
	if r.stopRequested || reason != "" || r.step.Gang || r.isolated || r.exceedsMaxPerWorker() {
		m.stopRun(r, "start of a previous owner is not retried")
		m.stopGang(r)
		return
	}
	m.sendStart(r)
}
