package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// startBlocker returns the reason why a recorded run must not be started now, or
// "" if there is none.
func (m *Machine) startBlocker(r *run) string {
	switch {
	case r.task.Done:
		return "task is done"
	case r.entry.State().Final():
		return "submission is " + r.entry.State().String()
	case !r.worker.listed:
		return "worker is not listed"
	case r.worker.Draining:
		return "worker is draining"
	case m.evacuated[r.worker.DataCentre]:
		return "data centre is evacuated"
	case r.worker.silent:
		return "worker is silent"
	case r.worker.bar != leasesAllowed:
		return "worker is recorded as silent"
	case r.exceedsCapacity():
		return roomTaken
	case r.step.BestEffort && r.worker.overTarget():
		return "a task there is over its latency target"
	case m.unconfirmed(r.entry):
		return "submission is not confirmed by its own cell"
	case m.viewExpired(), m.awaitsTenants(r.entry):
		return viewTooOld
	case m.aboveCap(r.entry):
		return tenantAboveCap
	}
	if lease, _ := m.grantableLease(r.worker); lease < minStartLease {
		return leaseTooShort
	}
	return ""
}

// leaseTooShort blocks a start until the owner may grant longer leases.
const leaseTooShort = "lease is too short"

// recordRun appends the Placed record of a run and starts the run when the record
// is in the log.
func (m *Machine) recordRun(r *run) {
	if r.step.BestEffort {
		r.worker.bestEffortChanges.placed++
	}
	m.emitDecision(RunPlaced, r.id, r.worker.ID(), r.step.Image, m.now-r.worker.clockAt)
	record := ledger.PlacedRecord(r.id, r.worker.Incarnation, r.worker.Address)
	record.Placed.Order, record.Placed.FreshFrom = r.order, r.worker.firstFresh()
	record.Placed.EndsConnections = r.worker.endsConnections
	record.Placed.Checkpoint = r.resumesFrom
	incarnation := r.worker.Incarnation
	m.starts.inFlight++
	m.appendRecord(record, func() {
		m.starts.inFlight--
		first := r.entry.State() == workload.Queued
		m.ledger.Apply(record)
		m.forgetCheckpoint(r.entry, r.id.Task, r.id.Run)
		if first {
			r.entry.NoteNotActive()
			m.emitSubmissionDecision(SubmissionBegan, r.entry)
		}
		if r.ahead && !r.stopRequested && r.worker.Incarnation == incarnation {
			m.noteWait(r.id.Task)
			r.phase = recorded
			m.startRecorded(r.worker)
			return
		}
		reason := m.startBlocker(r)
		if r.stopRequested || reason != "" || r.worker.Incarnation != incarnation || !m.gangRecorded(r) {
			m.emitDecision(RunRefused, r.id, r.worker.ID(), reason, 0)
			m.stopGang(r)
			m.removeRun(r)
			return
		}
		m.sendStart(r)
	})
}

// gangRecorded reports whether all members of a run's gang still have their run.
func (m *Machine) gangRecorded(r *run) bool {
	if !r.step.Gang {
		return true
	}
	members := 0
	for _, other := range m.byEntry[r.entry.ID] {
		if other.id.Task.Step == r.id.Task.Step && other.id.Task.Occurrence == r.id.Task.Occurrence && other.id.Run == r.id.Run {
			members++
		}
	}
	return members == r.step.Tasks
}

func (m *Machine) sendStart(r *run) {
	w := r.worker
	if r.leaseDeadline == 0 {
		lease, _ := m.grantableLease(w)
		r.leaseDeadline = w.leaseForStart(m.now, lease)
	}
	m.noteWait(r.id.Task)
	if r.filling != nil {
		r.filling.hold(m.now, heldByStart)
	}
	r.phase, r.commandInFlight = starting, true
	w.noteGrant(m.now)
	m.starts.inFlight++
	m.emit(Start{Target: w.target(), Run: r.id, Spec: r.entry.Spec, Checkpoint: r.resumesFrom, Deadline: r.leaseDeadline})
}

// confirmRun records that a run is active on its worker.
func (m *Machine) confirmRun(r *run) {
	r.phase = running
	r.confirmedAt = m.now
	r.entry.NoteActive()
	if r.startedAt == 0 {
		r.startedAt, r.progressAt = m.now, m.now
		r.overBefore = r.inherited
		if !r.inherited {
			r.settledAt = m.now + settlingTime
		}
		r.worker.beginInterval(r, m.now)
		if r.step.BestEffort {
			r.worker.bestEffortChanges.started++
		}
		switch {
		case r.step.BestEffort && r.worker.overTarget():
			m.suspend(r)
		case r.paced:
			m.sendPace(r)
		case r.step.BestEffort:
			m.controlPaces(r.worker)
		}
		m.emitDecision(RunStarted, r.id, r.worker.ID(), "", 0)
		m.endInterruption(r)
		m.endFilling(r)
	}
	if r.stopRequested {
		m.sendStop(r)
	}
	r.worker.nextHeartbeatAt = min(r.worker.nextHeartbeatAt, m.now+urgentHeartbeatInterval)
}

func (m *Machine) startAnswered(ev StartAnswered) {
	m.starts.inFlight--
	m.starts.answered(m.now, ev.Took, ev.Answer)
	w := m.workers[ev.Worker]
	if w == nil {
		return
	}
	m.applyStartAnswer(w, ev)
	if ev.Answer == WrongWorker && ev.Found.StartMillis > w.StartMillis {
		m.workerRestarted(w, ev.Found)
	}
}

// applyStartAnswer applies the answer to a start to its run.
func (m *Machine) applyStartAnswer(w *worker, ev StartAnswered) {
	if ev.Answer == NoAnswer {
		w.unansweredStartAt = m.now
	}
	r := w.runs[ev.Run]
	if r == nil || r.startedBefore {
		return
	}
	if ev.Answer != NoAnswer && ev.Answer != WrongWorker {
		w.updateClock(m.now, ev.Clock)
	}
	if ev.Answer == Done && r.activeFrom == 0 {
		r.activeFrom = ev.Clock
	}
	if r.phase != starting {
		// The command in flight, if there is one, is a stop.
		return
	}
	r.commandInFlight = false
	m.handleStartAnswer(r, ev.Answer)
}

func (m *Machine) handleStartAnswer(r *run, answer Answer) {
	w := r.worker
	switch answer {
	case Done:
		m.confirmRun(r)
		return
	case NoAnswer:
		r.unanswered = true
		w.nextHeartbeatAt = m.now
		if r.filling != nil {
			r.filling.hold(m.now, heldByRepeat)
		}
		return
	case Fenced:
		m.emit(StepDown{Worker: w.ID()})
		return
	case Superseded:
		// The run ended or was stopped on the worker; a report will list its end.
		m.emitDecision(RunRefused, r.id, w.ID(), answer.String(), 0)
		m.stopRun(r, "run is superseded")
		return
	case WrongWorker:
		// Others would be refused as well until a heartbeat or the list shows the new worker.
		w.pausedUntil = max(w.pausedUntil, m.now+unhealthyPause)
		w.nextHeartbeatAt = m.now
		if r.unanswered {
			// An earlier copy may have crashed the worker: the run stays a suspect until a
			// heartbeat shows the crash.
			m.stopGang(r)
			return
		}
	case Unhealthy:
		w.pausedUntil = max(w.pausedUntil, m.now+unhealthyPause)
	case NoRoom:
		w.history.refusals++
		w.pausedUntil = max(w.pausedUntil, m.now+m.noRoomPause(w))
	}
	m.emitDecision(RunRefused, r.id, w.ID(), answer.String(), m.now-w.clockAt)
	m.stopGang(r)
	switch {
	case r.unanswered:
		m.stopRun(r, "an earlier copy of the start may still be carried out")
	case answer != WrongWorker && m.isFromBefore(r):
		r.startRefusedAt = m.now
		m.stopRun(r, "a stop of a previous owner may still be under way")
	default:
		m.removeRun(r)
	}
}

// isFromBefore reports whether a previous owner placed a run.
func (m *Machine) isFromBefore(r *run) bool { return r.order>>placementBits < m.config.Epoch }

// noRoomPause returns the time for which no runs are placed on a worker that has
// less free capacity than the machine has accounted for.
func (m *Machine) noRoomPause(w *worker) time.Duration {
	return min(time.Duration(w.history.refusals)*200*time.Millisecond, 2*time.Second)
}

// stopRun requests that a run be stopped. A run whose placement is still being
// recorded is then not started.
func (m *Machine) stopRun(r *run, reason string) {
	if r.stopRequested && r.phase != starting {
		return
	}
	r.stopRequested = true
	switch r.phase {
	case recording, ending, stopping:
		return
	case recorded:
		m.withdraw(r, reason)
		return
	}
	kind := RunStopped
	if r.displaced {
		kind = RunDisplaced
	}
	m.emit(Decision{Kind: kind, Run: r.id, Worker: r.worker.ID(), Reason: reason, Age: m.now - r.startedAt, Work: r.discarded})
	m.sendStop(r)
}

// sendStop sends the stop command of a run. While the worker's address is not
// known, because the worker has not been listed yet, the command is deferred.
func (m *Machine) sendStop(r *run) {
	m.noteWait(r.id.Task)
	if r.stopSentAt == 0 {
		r.stopSentAt = m.now
	}
	r.phase, r.commandInFlight = stopping, true
	r.confirmedAt = m.now
	if r.worker.Address == "" {
		r.unanswered = true
		return
	}
	m.emit(Stop{Target: r.worker.target(), Run: r.id})
}

func (m *Machine) stopAnswered(ev StopAnswered) {
	w := m.workers[ev.Worker]
	if w == nil || ev.Incarnation != (workload.Incarnation{}) && ev.Incarnation != w.Incarnation {
		return
	}
	r := w.runs[ev.Run]
	if r == nil || r.phase != stopping {
		return
	}
	r.commandInFlight = false
	switch ev.Answer {
	case Fenced:
		m.emit(StepDown{Worker: w.ID()})
	case NoAnswer, Unhealthy:
		r.unanswered, r.unansweredStop = true, true
		r.commandInFlight = true
		w.nextHeartbeatAt = m.now
	case WrongWorker:
		// The run stays a suspect until a heartbeat shows the crash.
		w.nextHeartbeatAt = m.now
	default:
		r.confirmedAt = m.now
		r.unanswered = false
		w.nextHeartbeatAt = min(w.nextHeartbeatAt, m.now+urgentHeartbeatInterval)
		m.watchClearing(w)
	}
}

// retryCommands retries commands that were not answered and sends deferred ones.
func (m *Machine) retryCommands(w *worker) {
	if w.silent || w.Address == "" {
		return
	}
	for _, r := range w.runList {
		switch {
		case r.phase == starting && !r.commandInFlight && !r.inherited && r.unanswered:
			m.repeatStart(r)
		case r.phase == stopping && r.unanswered && r.commandInFlight:
			r.unanswered = false
			m.sendStop(r)
		}
	}
}
