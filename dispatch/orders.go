package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// refuses tells why a recorded run must not be started now, or "".
func (m *Machine) refuses(r *run) string {
	switch {
	case r.task.Done:
		return "task is done"
	case r.entry.State().Final():
		return "submission is " + r.entry.State().String()
	case !r.on.listed:
		return "worker is not listed"
	case r.on.Draining:
		return "worker is draining"
	case m.evacuated[r.on.DataCentre]:
		return "data centre is evacuated"
	case r.on.silent:
		return "worker is silent"
	}
	return ""
}

// recordRun writes the Placed record of a run and starts it when it is on the log.
func (m *Machine) recordRun(r *run) {
	m.decide(RunPlaced, r.id, r.on.ID(), r.step.Image, m.now-r.on.clockAt)
	record := ledger.PlacedRecord(r.id, r.on.Incarnation)
	life := r.on.Incarnation
	m.write(record, func() {
		first := r.entry.State() == workload.Queued
		m.book.Apply(record)
		if first {
			m.decideSubmission(SubmissionBegan, r.entry)
		}
		reason := m.refuses(r)
		if r.stop || reason != "" || r.on.Incarnation != life || !m.gangRecorded(r) {
			m.decide(RunRefused, r.id, r.on.ID(), reason, 0)
			m.forget(r)
			return
		}
		m.sendStart(r)
	})
}

// gangRecorded is true for a run whose gang is complete. A member that was
// given up before its start takes the others with it.
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
	if members == r.step.Tasks {
		return true
	}
	m.stopGang(r)
	return false
}

func (m *Machine) sendStart(r *run) {
	w := r.on
	if r.deadline == 0 {
		r.deadline = w.startLease(m.now, m.config.Lease)
	}
	r.phase, r.inFlight = starting, true
	m.emit(Start{Target: w.target(), Run: r.id, Spec: r.entry.Spec, Checkpoint: r.checkpoint, Deadline: r.deadline})
}

// confirm notes that a run is on its worker.
func (m *Machine) confirm(r *run) {
	r.phase = running
	r.confirmedAt = m.now
	if r.startedAt == 0 {
		r.startedAt, r.progressAt = m.now, m.now
		r.on.arrive(r, m.now)
		m.decide(RunStarted, r.id, r.on.ID(), "", 0)
	}
	if r.stop {
		m.sendStop(r)
	}
	r.on.nextHoldAt = min(r.on.nextHoldAt, m.now+urgentSpacing)
}

func (m *Machine) startAnswered(ev StartAnswered) {
	w := m.workers[ev.Worker]
	if w == nil {
		return
	}
	r := w.runs[ev.Run]
	if r == nil {
		return
	}
	r.inFlight = false
	if ev.Answer != NoAnswer && ev.Answer != WrongWorker {
		w.readClock(m.now, ev.Clock)
	}
	if r.phase != starting {
		return
	}
	m.answerStart(r, ev.Answer)
}

func (m *Machine) answerStart(r *run, answer Answer) {
	w := r.on
	switch answer {
	case Done:
		m.confirm(r)
		return
	case NoAnswer:
		r.repeated = true
		w.nextHoldAt = m.now
		return
	case Fenced:
		m.emit(StepDown{Worker: w.ID()})
		return
	case Superseded:
		// The run ended or was stopped there; its end is listed by a hold.
		m.decide(RunRefused, r.id, w.ID(), answer.String(), 0)
		m.stopRun(r, "run is superseded")
		return
	case Unhealthy:
		w.pausedUntil = m.now + refusedPause
	case NoRoom:
		w.record.refusals++
		w.pausedUntil = m.now + m.roomPause(w)
	}
	m.decide(RunRefused, r.id, w.ID(), answer.String(), m.now-w.clockAt)
	if r.repeated && answer != WrongWorker {
		m.stopRun(r, "an earlier copy of the start may be late")
		return
	}
	if r.step.Gang {
		m.stopGang(r)
	}
	m.forget(r)
}

// roomPause keeps new runs off a worker whose room is smaller than the books say.
func (m *Machine) roomPause(w *worker) time.Duration {
	return min(time.Duration(w.record.refusals)*200*time.Millisecond, 2*time.Second)
}

// stopRun asks for the end of a run and remembers that until it has ended.
func (m *Machine) stopRun(r *run, reason string) {
	if r.stop && r.phase != starting {
		return
	}
	r.stop = true
	switch r.phase {
	case recording, ending, stopping:
		return
	}
	m.decide(RunStopped, r.id, r.on.ID(), reason, m.now-r.startedAt)
	m.sendStop(r)
}

// sendStop orders the end of a run. The address of a worker that is not listed
// yet is unknown; the order then waits for it.
func (m *Machine) sendStop(r *run) {
	r.phase, r.inFlight = stopping, true
	r.confirmedAt = m.now
	if r.on.Address == "" {
		r.repeated = true
		return
	}
	m.emit(Stop{Target: r.on.target(), Run: r.id})
}

func (m *Machine) stopAnswered(ev StopAnswered) {
	w := m.workers[ev.Worker]
	if w == nil {
		return
	}
	r := w.runs[ev.Run]
	if r == nil || r.phase != stopping {
		return
	}
	r.inFlight = false
	switch ev.Answer {
	case Fenced:
		m.emit(StepDown{Worker: w.ID()})
	case NoAnswer, Unhealthy:
		r.repeated = true
		r.inFlight = true
		w.nextHoldAt = m.now
	case WrongWorker:
		m.keepCheckpoint(r)
		m.forget(r)
	default:
		r.confirmedAt = m.now
		r.repeated = false
		w.nextHoldAt = min(w.nextHoldAt, m.now+urgentSpacing)
	}
}

// retryOrders repeats orders that had no answer.
func (m *Machine) retryOrders(w *worker) {
	if w.silent || w.Address == "" {
		return
	}
	for _, r := range w.order {
		switch {
		case r.phase == starting && !r.inFlight && !r.inherited && r.repeated:
			m.sendStart(r)
		case r.phase == stopping && r.repeated && r.inFlight:
			r.repeated = false
			m.sendStop(r)
		}
	}
}
