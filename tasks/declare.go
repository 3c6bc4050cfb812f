package tasks

import "github.com/cactusreel/cactusreel/api"

// workChanged declares work, or forgets it.
func (m *Machine) workChanged(e WorkChanged) {
	work := e.Work
	key := workKey{name: work.Name, created: work.Created}
	count := work.Count
	if before := m.works[key]; before != nil {
		count = max(count, before.Count)
	}
	if e.Deleted {
		delete(m.works, key)
		m.prune()
	} else {
		m.works[key] = &work
		m.derive(&work)
	}
	m.advanceWork(&work, count)
}

// advanceWork does what is due for the first count tasks of a work. It leaves
// the other tasks of the cell alone: a new owner is told of every declared job
// before it places anything, and looking at all tasks for each took seconds.
func (m *Machine) advanceWork(w *Work, count int) {
	if !m.open {
		return
	}
	for index := range count {
		if t := m.tasks[w.TaskID(index)]; t != nil {
			m.advance(t)
		}
	}
}

// derive creates the tasks of a work that are at home in this cell.
func (m *Machine) derive(w *Work) {
	if len(w.DataCentres) == 0 {
		return
	}
	ranked := RankDataCentres(w.Name, w.DataCentres)
	for index := range w.Count {
		home := homeIn(ranked, w, index)
		if home.DataCentre != m.config.DataCentre || int(home.Cell) != m.config.Cell {
			continue
		}
		m.ensure(w.TaskID(index)).home = true
	}
}

func (m *Machine) work(t *task) *Work {
	return m.works[workKey{name: t.name.Name, created: t.name.Created}]
}

// deleted reports whether a task's work is known to be deleted.
func (m *Machine) deleted(t *task) bool {
	return m.work(t) == nil && t.name.Created <= m.through
}

// wanted reports whether a task may run. Work that this VM has not read yet
// counts as wanted.
func (m *Machine) wanted(t *task) bool {
	w := m.work(t)
	if w == nil {
		return !m.deleted(t)
	}
	return t.name.Index < w.Count && !w.Cancelled
}

// prunable reports whether nothing about a task matters any more.
func (m *Machine) prunable(t *task) bool {
	return m.deleted(t) && !t.live && t.inFlight == nil
}

// prune forgets tasks of deleted work.
func (m *Machine) prune() {
	for id, t := range m.tasks {
		if m.prunable(t) {
			delete(m.tasks, id)
			m.order = nil
		}
	}
}

// status derives the status of a task from the stream and the declared work.
func (m *Machine) status(t *task) Status {
	w := m.work(t)
	switch {
	case t.moved:
		return StatusMoved
	case t.outcome == completed && !t.live:
		return StatusCompleted
	case t.live && t.evicting:
		return StatusEvicting
	case t.live:
		return StatusPlaced
	case w == nil || t.name.Index >= w.Count || !t.here():
		return StatusSurplus
	case w.Cancelled:
		return StatusCancelled
	case w.Kind == api.KindJob && t.failures > int64(w.MaxRetries):
		return StatusFailed
	}
	return StatusPending
}
