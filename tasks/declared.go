package tasks

import "github.com/cactusreel/cactusreel/api"

// handleWorkChanged adds or replaces a declared job or service, or removes a
// deleted one.
func (m *Machine) handleWorkChanged(e WorkChanged) {
	work := e.Work
	key := workKey{name: work.Name, created: work.Created}
	count := work.Count
	if previous := m.declared[key]; previous != nil {
		count = max(count, previous.Count)
	}
	if e.Deleted {
		delete(m.declared, key)
		m.prune()
	} else {
		m.declared[key] = &work
		m.createHomeTasks(&work)
	}
	m.advanceWork(&work, count)
}

// advanceWork advances the first count tasks of a job or service. It skips the
// other tasks of the cell: a new owner gets one event per declared job before it
// places anything, and advancing all tasks for each event took seconds.
func (m *Machine) advanceWork(w *Work, count int) {
	if !m.termOpen {
		return
	}
	for index := range count {
		if t := m.tasks[w.TaskID(index)]; t != nil {
			m.advance(t)
		}
	}
}

// createHomeTasks creates the tasks of a job or service whose home cell is this
// cell.
func (m *Machine) createHomeTasks(w *Work) {
	if len(w.DataCentres) == 0 {
		return
	}
	ranked := RankDataCentres(w.Name, w.DataCentres)
	for index := range w.Count {
		home := homeCellIn(ranked, w, index)
		if home.DataCentre != m.config.DataCentre || int(home.Cell) != m.config.Cell {
			continue
		}
		m.getOrCreateTask(w.TaskID(index)).isHome = true
	}
}

func (m *Machine) workOf(t *task) *Work {
	return m.declared[workKey{name: t.parsedID.WorkName, created: t.parsedID.Created}]
}

// workDeleted reports whether the job or service of a task is known to be
// deleted.
func (m *Machine) workDeleted(t *task) bool {
	return m.workOf(t) == nil && t.parsedID.Created <= m.declaredThrough
}

// shouldRun reports whether a task is declared and not cancelled. A task whose
// job or service this VM has not read yet counts as declared.
func (m *Machine) shouldRun(t *task) bool {
	w := m.workOf(t)
	if w == nil {
		return !m.workDeleted(t)
	}
	return t.parsedID.Index < w.Count && !w.Cancelled
}

// prunable reports whether the state of a task is no longer needed.
func (m *Machine) prunable(t *task) bool {
	return m.workDeleted(t) && !t.live && t.inFlight == nil
}

// prune removes the tasks of deleted jobs and services that have no live
// attempt and no record in flight.
func (m *Machine) prune() {
	for id, t := range m.tasks {
		if m.prunable(t) {
			delete(m.tasks, id)
			m.sortedIDs = nil
		}
	}
}

// statusOf derives the status of a task from the stream and the declared work.
func (m *Machine) statusOf(t *task) Status {
	w := m.workOf(t)
	switch {
	case t.moved:
		return StatusMoved
	case t.outcome == completed && !t.live:
		return StatusCompleted
	case t.live && t.evicting:
		return StatusEvicting
	case t.live:
		return StatusPlaced
	case w == nil || t.parsedID.Index >= w.Count || !t.belongsToCell():
		return StatusSurplus
	case w.Cancelled:
		return StatusCancelled
	case w.Kind == api.KindJob && t.failures > int64(w.MaxRetries):
		return StatusFailed
	}
	return StatusPending
}
