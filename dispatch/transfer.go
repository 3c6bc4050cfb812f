package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Parameters of the transfer of tasks between cells.
const (
	// transferDelay is how long a task waits for a worker of its own cell. Of a
	// long-running task, the users allow 6 s in all.
	transferDelay = time.Second
	// searchInterval is the minimum time between two searches for capacity.
	searchInterval = 250 * time.Millisecond
	// maxDemands limits the steps of one search.
	maxDemands = 64
)

// transfers is the state of the transfer of tasks between cells.
type transfers struct {
	// search are the steps for which other cells are being searched, or nil.
	search []*longWait
	// nextSearchAt is the earliest time of the next search.
	nextSearchAt time.Duration
	// resumed: the releases of previous owners have been transferred again.
	resumed bool
	// released are the submissions of which other cells may have tasks.
	released map[string]bool
	// confirmedAt is when the submissions of guests were last known not to be final.
	confirmedAt map[string]time.Duration
	// guestsCheckedAt is when the guests were last checked.
	guestsCheckedAt time.Duration
}

func newTransfers() transfers {
	return transfers{released: make(map[string]bool), confirmedAt: make(map[string]time.Duration)}
}

// transferWaiting searches other cells for capacity for the steps whose tasks have
// waited for transferDelay.
func (m *Machine) transferWaiting() {
	m.resumeTransfers()
	if m.transfers.search != nil || m.now < m.transfers.nextSearchAt {
		return
	}
	var search []*longWait
	for _, wait := range m.longWaits {
		if m.now-wait.oldest() >= transferDelay {
			search = append(search, wait)
		}
	}
	slices.SortFunc(search, (*longWait).compareSearch)
	search = search[:min(len(search), maxDemands)]
	var demands []Demand
	for _, wait := range search {
		wait.searchedAt = m.now
		demands = append(demands, demandOf(&wait.waiting, len(m.transferableTasks(wait))))
	}
	if len(demands) > 0 {
		m.transfers.search, m.transfers.nextSearchAt = search, m.now+searchInterval
		m.emit(FindCapacity{Demands: demands})
	}
}

// transferableTasks returns the tasks of a step that have waited for transferDelay. A
// gang is transferred as a whole. Transferred doesn't have the undecided runs for which a
// task may wait, so the other cell would start it at once.
func (m *Machine) transferableTasks(wait *longWait) []*ledger.Task {
	if wait.waiting.entry.State().Final() {
		return nil
	}
	tasks := slices.DeleteFunc(m.waitingTasks(wait.waiting.state.Tasks), func(t *ledger.Task) bool {
		return m.claims[t.ID] != nil || wait.waiting.entry.EverSuspected() && m.awaitsDecision(wait.waiting.entry, t)
	})
	if wait.step.Gang {
		if len(tasks) < wait.step.Tasks {
			return nil
		}
		return tasks
	}
	return slices.DeleteFunc(tasks, func(t *ledger.Task) bool {
		return m.now-wait.waitingSince(t.ID, m.now) < transferDelay
	})
}

// compareSearch orders steps for the search: long-running ones first, because the
// others wait only until runs of their cell end, then those that were searched for
// least recently.
func (w *longWait) compareSearch(other *longWait) int {
	a, b := &w.waiting, &other.waiting
	return cmp.Or(compareLongRunning(w.step, other.step), cmp.Compare(w.searchedAt, other.searchedAt),
		cmp.Compare(a.entry.ID, b.entry.ID), cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.stepIndex, b.stepIndex))
}

// compareLongRunning orders long-running steps before others.
func compareLongRunning(a, b *workload.Step) int {
	switch {
	case a.LongRunning == b.LongRunning:
		return 0
	case a.LongRunning:
		return -1
	}
	return 1
}

// capacityFound releases tasks that still wait to a cell with free capacity. They are
// transferred when the releases are in the log, and are not placed here meanwhile.
func (m *Machine) capacityFound(ev CapacityFound) {
	if m.logStalled() {
		return
	}
	for i, wait := range m.transfers.search {
		if i >= len(ev.Tasks) || ev.Tasks[i] <= 0 {
			continue
		}
		tasks := m.transferableTasks(wait)
		if wait.step.Gang && ev.Tasks[i] < len(tasks) {
			continue
		}
		if tasks = tasks[:min(len(tasks), ev.Tasks[i])]; len(tasks) > 0 {
			m.releaseAll(wait.waiting.entry, tasks, ev.Cell, m.now-wait.oldest())
		}
	}
}

func (m *Machine) releaseAll(e *ledger.Entry, tasks []*ledger.Task, cell int, age time.Duration) {
	reason := fmt.Sprintf("%d tasks released to cell %d", len(tasks), cell)
	m.emitDecision(TaskReleased, workload.RunID{Task: tasks[0].ID, Run: tasks[0].Run + 1}, m.avoid[tasks[0].ID], reason, age)
	m.transfers.released[e.ID] = true
	for _, t := range tasks {
		m.release(e, t, cell)
	}
	m.callbacks = append(m.callbacks, func() {
		if !e.State().Final() {
			m.emit(Transfer{Cell: cell, Record: ledger.TransferredRecord(e, tasks...)})
		}
	})
}

// release records the release of a task without a run.
func (m *Machine) release(e *ledger.Entry, t *ledger.Task, cell int) {
	m.releasing[t.ID] = true
	m.addOccupied(e, t.ID, 1)
	record := ledger.ReleasedRecord(t, cell, m.checkpoints[checkpointKey(e, t.ID)].name)
	m.appendRecord(record, func() {
		m.ledger.Apply(record)
		delete(m.releasing, t.ID)
		delete(m.checkpoints, checkpointKey(e, t.ID))
		delete(m.avoid, t.ID)
		m.addOccupied(e, t.ID, -1)
	})
}

// resumeTransfers transfers the tasks again that previous owners released or returned:
// whether the records got into the other intakes is not known.
func (m *Machine) resumeTransfers() {
	if m.transfers.resumed {
		return
	}
	m.transfers.resumed = true
	for _, e := range m.ledger.Live() {
		released := make(map[int][]*ledger.Task)
		forEachTaskOf(e, func(t *ledger.Task) {
			switch {
			case !t.Away || t.Transfer == 0:
			case e.Returned(t):
				m.returnFinished(e, t.ID)
			default:
				released[t.ReleasedTo] = append(released[t.ReleasedTo], t)
			}
		})
		for _, cell := range slices.Sorted(maps.Keys(released)) {
			m.transfers.released[e.ID] = true
			m.emit(Transfer{Cell: cell, Record: ledger.TransferredRecord(e, released[cell]...)})
		}
	}
}
