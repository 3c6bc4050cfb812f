package tasks

import "github.com/cactusreel/cactusreel/api"

// handleWorkChanged declares work, or forgets it.
func (m *Machine) handleWorkChanged(e WorkChanged) {
	work := e.Work
	key := workKey{name: work.Name, created: work.Created}
	count := work.Count
	if before := m.declared[key]; before != nil {
		count = max(count, before.Count)
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

// advanceWork does what is due for the first count tasks of a work. It leaves
// the other tasks of the cell alone: a new owner is told of every declared job
// before it places anything, and looking at all tasks for each took seconds.
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

// createHomeTasks creates the tasks of a work that are at home in this cell.
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

// workDeleted reports whether a task's work is known to be deleted.
func (m *Machine) workDeleted(t *task) bool {
	return m.workOf(t) == nil && t.parsedID.Created <= m.declaredThrough
}

// shouldRun reports whether a task may run. Work that this VM has not read yet
// counts as wanted.
func (m *Machine) shouldRun(t *task) bool {
	w := m.workOf(t)
	if w == nil {
		return !m.workDeleted(t)
	}
	return t.parsedID.Index < w.Count && !w.Cancelled
}

// prunable reports whether nothing about a task matters any more.
func (m *Machine) prunable(t *task) bool {
	return m.workDeleted(t) && !t.live && t.inFlight == nil
}

// prune forgets tasks of deleted work.
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
