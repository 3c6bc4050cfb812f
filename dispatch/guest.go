package dispatch

import (
	"maps"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guests are submissions of other cells, which transferred tasks to this one. Only
// their own cell knows when they are cancelled.
const (
	// guestCheckInterval is the time between two checks of the guests.
	guestCheckInterval = 500 * time.Millisecond
	// maxConfirmationAge is the time for which a guest whose own cell does not answer
	// may still be started, if the limit of the age of an intake's view is not lower.
	maxConfirmationAge = 2500 * time.Millisecond
)

// unconfirmed reports whether an entry is a guest of which it is not known that its
// submission was not final a short time ago. Its tasks must not be started.
func (m *Machine) unconfirmed(e *ledger.Entry) bool {
	if !e.Guest() {
		return false
	}
	at, known := m.transfers.confirmedAt[e.ID]
	limit := maxConfirmationAge
	if intake := m.config.MaxViewAge[Intake]; intake > 0 {
		limit = min(limit, intake)
	}
	return !known || m.now-at > limit
}

// checkGuests requests the states of all guests from time to time.
func (m *Machine) checkGuests() {
	if m.transfers.guestsCheckedAt > 0 && m.now-m.transfers.guestsCheckedAt < guestCheckInterval {
		return
	}
	m.transfers.guestsCheckedAt = m.now
	live := make(map[string]bool)
	var ids []string
	for _, e := range m.ledger.Live() {
		if e.Guest() {
			live[e.ID] = true
			ids = append(ids, e.ID)
		}
	}
	maps.DeleteFunc(m.transfers.confirmedAt, func(id string, _ time.Duration) bool { return !live[id] })
	if len(ids) > 0 {
		m.emit(CheckGuests{IDs: ids})
	}
}

// checkNewGuest requests the state of a guest that has not been checked yet.
func (m *Machine) checkNewGuest(e *ledger.Entry) {
	if _, known := m.transfers.confirmedAt[e.ID]; e.Guest() && !known {
		m.emit(CheckGuests{IDs: []string{e.ID}})
	}
}

// returnFinished gives a task that a guest has finished, and the other members of its
// gang, back to the cell of the submission.
func (m *Machine) returnFinished(e *ledger.Entry, id workload.TaskID) {
	t := e.Task(id)
	if m.config.CellOf == nil || !e.Returned(t) {
		return
	}
	finished := []*ledger.Task{t}
	if e.Steps[id.Step].Gang {
		finished = nil
		tasks := e.Occurrence(id.Occurrence).Steps[id.Step].Tasks
		for i := range tasks {
			finished = append(finished, &tasks[i])
		}
	}
	m.emit(Transfer{Cell: m.config.CellOf(e.ID), Record: ledger.ReturnedRecord(e, finished...)})
}

// reportReturnedEnd reports the end of a submission whose last task another cell
// finished.
func (m *Machine) reportReturnedEnd(e *ledger.Entry) {
	if m.transfers.released[e.ID] && (e.State() == workload.Completed || e.State() == workload.Failed) {
		m.emitSubmissionDecision(SubmissionEnded, e)
	}
	delete(m.transfers.released, e.ID)
}

func (m *Machine) guestsConfirmed(ev GuestsConfirmed) {
	for _, id := range ev.IDs {
		m.transfers.confirmedAt[id] = max(m.transfers.confirmedAt[id], ev.SentAt)
	}
	m.planNeeded = true
}
