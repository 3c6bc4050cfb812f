package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// claimMargin is how much longer than a stop a claim lasts: the report of the stop arrives, and
// is handled, within it.
const claimMargin = time.Second

// claim is the room on a worker that is kept for a task while runs there are being stopped.
// Smaller requests would take it otherwise.
type claim struct {
	entry  *ledger.Entry
	state  *ledger.Step
	task   *ledger.Task
	worker *worker
	room   hostapi.Resources
	// moved is the run that is stopped to be replaced on the worker, or nil.
	moved *run
	// until is when the claim ends if the room hasn't become free.
	until time.Duration
}

func (m *Machine) claim(ws *waitingStep, t *ledger.Task, w *worker, room hostapi.Resources) {
	m.addClaim(&claim{entry: ws.entry, state: ws.state, task: t, worker: w, room: room})
	m.countDisplacement(ws.entry, t.ID)
	// The next round records the task's run ahead.
	m.planNeeded = true
}

// claimForMoved claims room on a worker for the task of a run that is stopped to be moved there.
func (m *Machine) claimForMoved(r *run, to *worker) {
	task := r.id.Task
	m.addClaim(&claim{
		entry: r.entry, state: &r.entry.Occurrence(task.Occurrence).Steps[task.Step], task: r.task, worker: to,
		room: reservation(r.step), moved: r,
	})
}

func (m *Machine) addClaim(c *claim) {
	c.until = m.now + m.config.StopTime + claimMargin
	m.claims[c.task.ID] = c
	c.worker.claimed = c.worker.claimed.Add(c.room)
	m.finiteRoom.changed(c.worker)
}

func (m *Machine) endClaim(id workload.TaskID) {
	c := m.claims[id]
	c.worker.claimed = c.worker.claimed.Sub(c.room)
	m.finiteRoom.changed(c.worker)
	delete(m.claims, id)
}

// endClaims ends the claims that have lasted too long, whose task no longer waits or whose worker
// can't be used any more.
func (m *Machine) endClaims() {
	for id, c := range maps.Clone(m.claims) {
		active := m.active[id]
		waits := (active == nil || active == c.moved) && !c.task.Done && !c.task.Away && !c.entry.State().Final()
		if !waits || m.now >= c.until || m.workers[c.worker.ID()] != c.worker || !m.acceptsLongRunning(c.worker) {
			m.endClaim(id)
		}
	}
}

// placeClaimed places the tasks of a step for which room has become free on the workers that
// they claim, or will be free when the runs that are being stopped have ended, and returns how many.
func (m *Machine) placeClaimed(ws *waitingStep) int {
	if m.claimsOf(ws.state) == 0 {
		return 0
	}
	placed := 0
	for _, t := range m.unsuspectedTasks(ws) {
		c := m.claims[t.ID]
		if c == nil {
			continue
		}
		w := c.worker
		free := w.free().Add(c.room)
		if !c.room.Fits(free.Add(m.roomSoon(w))) || !suits(ws, &ws.entry.Steps[ws.stepIndex], w) {
			continue
		}
		m.endClaim(t.ID)
		switch r := m.place(ws, t, t.Run+1, w); {
		case r == nil:
			continue
		case c.room.Fits(free):
			m.recordRun(r)
		default:
			m.recordAhead(r)
		}
		placed++
	}
	return placed
}

// unclaimedTasks returns the tasks of a step that wait, aren't suspected of a crash and claim no
// worker.
func (m *Machine) unclaimedTasks(ws *waitingStep) []*ledger.Task {
	return slices.DeleteFunc(m.unsuspectedTasks(ws), func(t *ledger.Task) bool { return m.claims[t.ID] != nil })
}

// isUnclaimed reports whether unclaimedTasks returns a task of the step.
func (m *Machine) isUnclaimed(ws *waitingStep, t *ledger.Task) bool {
	return m.isWaiting(t) && m.claims[t.ID] == nil && (!ws.entry.EverSuspected() || !ws.entry.CrashRecordOf(t).Suspect)
}

// claimsOf returns how many waiting tasks of a step claim a worker.
func (m *Machine) claimsOf(state *ledger.Step) int {
	n := 0
	for id, c := range m.claims {
		if c.state == state && m.active[id] == nil {
			n++
		}
	}
	return n
}
