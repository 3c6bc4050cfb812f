package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// candidate is a step of an occurrence with tasks that wait.
type candidate struct {
	entry      *ledger.Entry
	occurrence int
	step       int
	// state is the step's; its tasks that wait are found when it is placed.
	state    *ledger.Step
	image    imageID
	priority int
	hope     hope
	// due is the objective's time of day in Unix nanoseconds.
	due int64
}

// plan places waiting tasks on workers.
func (m *Machine) plan() {
	m.wantPlan = false
	if m.logStalled() {
		m.wantPlan = true
		return
	}
	waiting := m.candidates()
	if len(waiting) == 0 {
		return
	}
	workers := m.usable()
	if len(workers) == 0 {
		return
	}
	placed := 0
	full := make(fullFor)
	for i := range waiting {
		c := &waiting[i]
		if full.covers(c) {
			continue
		}
		n := m.placeStep(c, workers)
		if n == 0 {
			full.note(c)
		}
		placed += n
		if placed >= maxBatch {
			m.wantPlan = true
			return
		}
	}
}

// candidates returns the steps whose turn has come, the most urgent first.
func (m *Machine) candidates() []candidate {
	var out []candidate
	for _, e := range m.book.Live() {
		if e.State().Final() {
			continue
		}
		for number := range e.OccurrenceCount() {
			due := e.DueAt(number)
			if e.Scheduled() && due.Add(-m.config.StartEarly).After(m.wall) {
				break
			}
			out = m.occurrenceCandidates(out, e, number, due)
		}
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.hope, b.hope), cmp.Compare(a.due, b.due))
	})
	return out
}

func (m *Machine) occurrenceCandidates(out []candidate, e *ledger.Entry, number int, due time.Time) []candidate {
	o := e.Occurrence(number)
	if o.Done() {
		return out
	}
	for s := range o.Steps {
		state := &o.Steps[s]
		busy := m.busy[state]
		if state.Unfinished <= busy || e.Steps[s].Gang && busy > 0 || !o.Ready(e.Steps, s) {
			continue
		}
		out = append(out, candidate{
			entry: e, occurrence: number, step: s, state: state, image: m.images.id(e.Steps[s].Image),
			priority: e.Policy.Priority, hope: hopeFor(e, s, m.wall.Sub(due)), due: due.UnixNano() + int64(e.Objective()),
		})
	}
	return out
}

// waitingTasks returns the tasks that are not done and have no run.
func (m *Machine) waitingTasks(tasks []ledger.Task) []*ledger.Task {
	out := make([]*ledger.Task, 0, len(tasks))
	for i := range tasks {
		t := &tasks[i]
		if !t.Done && m.active[t.ID] == nil && !m.closing[t.ID] {
			out = append(out, t)
		}
	}
	return out
}

// usable returns the workers that may get new runs, in ascending order of id.
func (m *Machine) usable() []*worker {
	var out []*worker
	for _, w := range m.sorted {
		if w.listed && w.reported && !w.silent && !w.Draining && !m.evacuated[w.DataCentre] && m.now >= w.pausedUntil {
			out = append(out, w)
		}
	}
	return out
}

// placeStep places the waiting tasks of a step and returns how many it placed.
func (m *Machine) placeStep(c *candidate, workers []*worker) int {
	step := &c.entry.Steps[c.step]
	tasks := m.waitingTasks(c.state.Tasks)
	number := int64(0)
	if step.Gang {
		for _, t := range tasks {
			number = max(number, t.Run)
		}
	}
	var placed []*run
	ranking := m.rank(c, step, workers)
	for _, t := range tasks {
		w := ranking.take(m.avoid[t.ID])
		if w == nil {
			break
		}
		placed = append(placed, m.newRun(c.entry, t, max(number, t.Run)+1, w))
		if step.SameRack && len(placed) == 1 {
			// The first run decides the rack, and with it all scores.
			ranking = m.rank(c, step, workers)
			continue
		}
		m.rankAgain(ranking, c, step, w)
	}
	if step.Gang && len(placed) < len(tasks) {
		for _, r := range placed {
			m.forget(r)
		}
		m.wantPlan = false
		return 0
	}
	for _, r := range placed {
		m.recordRun(r)
	}
	return len(placed)
}

// rackOf returns the rack on which a same-rack step already has a run, or "".
func (m *Machine) rackOf(c *candidate, step *workload.Step) string {
	if !step.SameRack {
		return ""
	}
	for _, r := range m.byEntry[c.entry.ID] {
		if r.id.Task.Step == c.step && r.id.Task.Occurrence == c.occurrence {
			return r.on.Rack
		}
	}
	return ""
}
