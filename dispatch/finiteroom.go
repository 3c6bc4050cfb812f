package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Room for finite steps is kept in pieces that fit their tasks. On a worker, long-running runs leave one
// piece, which finite runs divide among themselves and give back. Long-running tasks that arrive would
// fill each piece that is large enough for them, and what is left then fits the smallest tasks only,
// however much CPU it is in all. So a long-running task that has not had a run yet is placed only where
// the pieces that are left suffice for the finite work of the service, for each size of request. One that
// has had a run is not held back: its callers are waiting for it.
const (
	// maxFiniteRoom is the fraction of the CPU of a service's usable workers that is kept at most, rounded
	// to whole pieces.
	maxFiniteRoom = 1.0 / 8
	// demandInterval is the time between two computations of the demand.
	demandInterval = 500 * time.Millisecond
	// maxDemandWindow is the longest time over which arrivals are averaged: finite work that no longer
	// arrives needs no room.
	maxDemandWindow = 30 * time.Second
	// minDemandWindow is the shortest one. An owner that has not seen
	// so many yet keeps as much room as it may: of the submissions before, it knows those that wait
	// still.
	minDemandWindow = 3 * time.Second
	// firstTaskDelay is how long after its due time a long-running submission without a run gets the
	// first one also in room that finite steps need: a submission without any serves nobody.
	firstTaskDelay = 4 * time.Second
	// demandSpread is the number of standard deviations of the CPU that finite runs have at a time
	// which is kept beside its mean.
	demandSpread = 2.0
)

// pieceShares are the shares of the demand, from the largest request on, whose smallest requests are
// the sizes of pieces that are looked at.
var pieceShares = [...]float64{0.1, 0.25, 0.5, 1}

// demandKey says which finite steps share room: those that the same workers can take, as far as they are
// at least as urgent as a priority.
type demandKey struct {
	service, label string
	priority       int
}

// finiteDemand is the CPU, in thousandths of a core, that finite steps need at a time in pieces of
// different sizes.
type finiteDemand struct {
	// sizes are requests in descending order, needs what tasks that request at least as much have at a
	// time.
	sizes, needs [len(pieceShares)]int64
}

// finiteDemands has the demands by key. They follow from the submissions that the ledger knows, so that
// another owner finds the same.
type finiteDemands struct {
	at    time.Duration
	known bool
	// settled: arrivals have been observed for minDemandWindow.
	settled bool
	steps   map[demandKey][]steadyStep
	byKey   map[demandKey]*finiteDemand
}

// steadyStep is a finite step as it arrives on average.
type steadyStep struct {
	// request is the CPU of a task, cpu that of all its tasks, in thousandths of a core.
	request, cpu int64
	// load is the mean number of such steps that run at a time.
	load float64
}

// demandFor returns the demand of finite steps that are at least as urgent as a priority, or nil if there
// is none.
func (m *Machine) demandFor(key demandKey) *finiteDemand {
	d := &m.finiteDemands
	if !d.known || m.now-d.at >= demandInterval {
		*d = finiteDemands{at: m.now, known: true, settled: m.now-m.createdAt >= minDemandWindow, steps: m.steadySteps(), byKey: make(map[demandKey]*finiteDemand)}
	}
	demand, known := d.byKey[key]
	if !known {
		var steps []steadyStep
		for k, s := range d.steps {
			if k.service == key.service && k.label == key.label && k.priority <= key.priority {
				steps = append(steps, s...)
			}
		}
		demand = newFiniteDemand(steps)
		d.byKey[key] = demand
	}
	return demand
}

// steadySteps returns the finite steps of the recent submissions of all queues.
func (m *Machine) steadySteps() map[demandKey][]steadyStep {
	out := make(map[demandKey][]steadyStep)
	for _, sample := range m.sizes {
		if sample.added < minSizeSample {
			continue
		}
		entries, window := m.arrivals(sample)
		for _, e := range entries {
			for i := range e.Steps {
				step := &e.Steps[i]
				if step.LongRunning || step.BestEffort || step.Request.MilliCPU <= 0 {
					continue
				}
				key := demandKey{service: e.Policy.Service, label: step.Label, priority: e.Policy.Priority}
				out[key] = append(out[key], steadyStep{
					request: step.Request.MilliCPU, cpu: step.Request.MilliCPU * int64(step.Tasks),
					load: m.expectedRunTime(e.Queue, step).Seconds() / window.Seconds(),
				})
			}
		}
	}
	return out
}

// arrivals returns the recent submissions of a queue, with the time in which they were accepted. Once
// the epoch has lasted for minDemandWindow, they are those of the epoch.
func (m *Machine) arrivals(sample *sizeSample) ([]*ledger.Entry, time.Duration) {
	entries := slices.Clone(sample.submissions[:min(sample.added, sizeSampleSize)])
	window := min(m.now-m.createdAt, maxDemandWindow)
	if window < minDemandWindow {
		window = maxDemandWindow
	}
	from := m.wall.Add(-window)
	if len(entries) == sizeSampleSize {
		first := slices.MinFunc(entries, func(a, b *ledger.Entry) int { return a.AcceptedAt.Compare(b.AcceptedAt) })
		if first.AcceptedAt.After(from) {
			return entries, max(minDemandWindow, m.wall.Sub(first.AcceptedAt))
		}
	}
	return slices.DeleteFunc(entries, func(e *ledger.Entry) bool { return e.AcceptedAt.Before(from) }), window
}

// newFiniteDemand returns the demand of steps that arrive at random: for each size the mean of the CPU
// of those that run at a time, and its standard deviation.
func newFiniteDemand(steps []steadyStep) *finiteDemand {
	slices.SortFunc(steps, func(a, b steadyStep) int {
		return cmp.Or(cmp.Compare(b.request, a.request), cmp.Compare(b.cpu, a.cpu), cmp.Compare(b.load, a.load))
	})
	total := 0.0
	for _, s := range steps {
		total += s.load * float64(s.cpu)
	}
	if total <= 0 {
		return nil
	}
	d, mean, variance, next := new(finiteDemand), 0.0, 0.0, 0
	for i, s := range steps {
		cpu := float64(s.cpu)
		mean, variance = mean+s.load*cpu, variance+s.load*cpu*cpu
		for next < len(pieceShares) && (mean >= pieceShares[next]*total*(1-1e-9) || i == len(steps)-1) {
			d.sizes[next], d.needs[next] = s.request, int64(mean+demandSpread*math.Sqrt(variance))
			next++
		}
	}
	return d
}

// finiteRoom is the room that long-running tasks leave to finite steps, in a planning round. The CPU is
// in thousandths of a core.
type finiteRoom struct {
	machine *Machine
	workers []*worker
	// rooms are the rooms that long-running tasks of a service and priority have to leave, sizes the
	// sizes of the pieces that finite tasks of a service and priority need.
	rooms map[runClass][]*pieceRoom
	sizes map[runClass]map[string][]int64
}

// pieceRoom is the room on the workers that some finite steps can use.
type pieceRoom struct {
	demand *finiteDemand
	// room is the CPU in pieces of each size of the demand, needs what is needed of it.
	room, needs [len(pieceShares)]int64
	// counted is the piece of each worker as it is counted in room, or -1 if it isn't; the index is
	// that of the worker in the planning round.
	counted []int64
}

func (m *Machine) newFiniteRoom(workers []*worker) *finiteRoom {
	for _, w := range m.sorted {
		w.roundIndex, w.roundPiece = -1, -1
	}
	for i, w := range workers {
		w.roundIndex = i
	}
	return &finiteRoom{machine: m, workers: workers, rooms: make(map[runClass][]*pieceRoom), sizes: make(map[runClass]map[string][]int64)}
}

// keepFiniteRoom determines the room that is kept for finite steps on workers until end is called.
func (m *Machine) keepFiniteRoom(workers []*worker) (end func()) {
	m.finiteRoom = m.newFiniteRoom(workers)
	return func() { m.finiteRoom = nil }
}

// roomsOf returns the rooms that long-running tasks of a service and priority have to leave, one for each
// label that finite steps require.
func (f *finiteRoom) roomsOf(class runClass) []*pieceRoom {
	rooms, known := f.rooms[class]
	if known {
		return rooms
	}
	for label, demand := range f.machine.demandsOf(class) {
		rooms = append(rooms, f.newPieceRoom(demand, class.service, label))
	}
	f.rooms[class] = rooms
	return rooms
}

func (f *finiteRoom) newPieceRoom(demand *finiteDemand, service, label string) *pieceRoom {
	p := &pieceRoom{demand: demand, needs: demand.needs, counted: make([]int64, len(f.workers))}
	capacity := int64(0)
	for i, w := range f.workers {
		p.counted[i] = -1
		if w.Service == service && w.HasLabel(label) {
			capacity += w.Capacity.MilliCPU
			p.counted[i] = w.piece()
			p.add(w.piece(), 1)
		}
	}
	most := int64(maxFiniteRoom * float64(capacity))
	if all := p.needs[len(p.needs)-1]; !f.machine.finiteDemands.settled {
		for i := range p.needs {
			p.needs[i] = int64(float64(p.needs[i]) * float64(most) / float64(max(all, 1)))
		}
	}
	for i, size := range demand.sizes {
		p.needs[i] = wholePieces(min(p.needs[i], most), size)
	}
	return p
}

// wholePieces rounds what is needed to whole pieces of a size.
func wholePieces(need, size int64) int64 { return (need + size/2) / size * size }

// piece returns the CPU that long-running runs leave on a worker, when those that are being stopped have
// ended.
func (w *worker) piece() int64 {
	if w.roundPiece >= 0 {
		return w.roundPiece
	}
	piece := w.freeInTime().MilliCPU
	for _, r := range w.runList {
		if r.phase == stopping && r.step.LongRunning {
			piece += reservation(r.step).MilliCPU
		}
	}
	w.roundPiece = max(0, piece)
	return w.roundPiece
}

// add adds a piece to the room, or takes it away with a sign of -1.
func (p *pieceRoom) add(piece, sign int64) {
	for i, size := range p.demand.sizes {
		p.room[i] += sign * usablePart(piece, size)
	}
}

// usablePart returns the part of a piece that tasks of a size can use.
func usablePart(piece, size int64) int64 { return max(0, piece/size) * size }

// changed updates the room after a long-running task was placed on a worker or has claimed room there.
func (f *finiteRoom) changed(w *worker) {
	w.roundPiece = -1
	if f == nil || w.roundIndex < 0 {
		return
	}
	for _, rooms := range f.rooms {
		for _, p := range rooms {
			if before := p.counted[w.roundIndex]; before >= 0 {
				p.add(before, -1)
				p.counted[w.roundIndex] = w.piece()
				p.add(w.piece(), 1)
			}
		}
	}
}

// taking is CPU that long-running tasks would take on a worker, in thousandths of a core.
type taking struct {
	worker *worker
	cpu    int64
}

// suffices reports whether what is left to finite steps suffices if long-running tasks take more. Where it
// doesn't suffice in any case, no more of it may be taken.
func (p *pieceRoom) suffices(takings []taking) bool {
	for i, size := range p.demand.sizes {
		taken := int64(0)
		for _, t := range takings {
			if t.worker.roundIndex >= 0 && p.counted[t.worker.roundIndex] >= 0 {
				before := p.counted[t.worker.roundIndex]
				taken += usablePart(before, size) - usablePart(before-t.cpu, size)
			}
		}
		if taken > 0 && p.room[i]-taken < p.needs[i] {
			return false
		}
	}
	return true
}

// admits reports whether long-running tasks of a service and priority that have not had a run may take more
// CPU on workers.
func (f *finiteRoom) admits(class runClass, takings ...taking) bool {
	if f == nil {
		return true
	}
	for _, p := range f.roomsOf(class) {
		if !p.suffices(takings) {
			return false
		}
	}
	return true
}

// largerSizes returns for how many of the sizes above a request a worker's piece of room is large enough.
func (f *finiteRoom) largerSizes(class runClass, request int64, w *worker) int {
	if f == nil {
		return 0
	}
	n, piece := 0, w.piece()
	for label, sizes := range f.sizesOf(class) {
		if !w.HasLabel(label) {
			continue
		}
		for _, size := range sizes {
			if size > request && piece >= size {
				n++
			}
		}
	}
	return min(n, len(pieceShares))
}

// sizesOf returns the sizes of the pieces that finite tasks of a service and priority need, by the label that
// they require.
func (f *finiteRoom) sizesOf(class runClass) map[string][]int64 {
	sizes, known := f.sizes[class]
	if !known {
		sizes = make(map[string][]int64)
		for label, demand := range f.machine.demandsOf(class) {
			sizes[label] = slices.Compact(slices.Clone(demand.sizes[:]))
		}
		f.sizes[class] = sizes
	}
	return sizes
}

// demandsOf returns the demands of finite steps of a service that are at least as urgent as a priority, one
// for each label that they require.
func (m *Machine) demandsOf(class runClass) map[string]*finiteDemand {
	out := make(map[string]*finiteDemand)
	for _, label := range m.demandLabels(class.service) {
		if demand := m.demandFor(demandKey{class.service, label, class.priority}); demand != nil {
			out[label] = demand
		}
	}
	return out
}

// demandLabels returns the labels that finite steps of a service require, "" for none.
func (m *Machine) demandLabels(service string) []string {
	m.demandFor(demandKey{service: service})
	var out []string
	for key := range m.finiteDemands.steps {
		if key.service == service && !slices.Contains(out, key.label) {
			out = append(out, key.label)
		}
	}
	return out
}

// isNew reports whether a long-running task has not had a run.
func isNew(t *ledger.Task) bool { return t.Run == 0 }

// yieldsRoom reports whether all tasks of a step that a planning round can place leave room to finite steps.
func (m *Machine) yieldsRoom(ws *waitingStep) bool {
	step := &ws.entry.Steps[ws.stepIndex]
	if !m.mayYield(ws.entry, ws.occurrence, step, ws.state) {
		return false
	}
	for i := range ws.state.Tasks {
		if t := &ws.state.Tasks[i]; !isNew(t) && m.isUnclaimed(ws, t) {
			return false
		}
	}
	return true
}

// yields reports whether a task of a step leaves room to finite steps.
func (m *Machine) yields(ws *waitingStep, t *ledger.Task) bool {
	return isNew(t) && m.mayYield(ws.entry, ws.occurrence, &ws.entry.Steps[ws.stepIndex], ws.state)
}

// interruptedFirst returns the tasks of a step, for a long-running one first those that have had a run.
func interruptedFirst(step *workload.Step, tasks []*ledger.Task) []*ledger.Task {
	if step.LongRunning {
		slices.SortStableFunc(tasks, func(a, b *ledger.Task) int { return cmp.Compare(min(b.Run, 1), min(a.Run, 1)) })
	}
	return tasks
}

// leavesRoom reports whether a task may be placed on a worker as far as the room for finite steps goes.
func (m *Machine) leavesRoom(ws *waitingStep, step *workload.Step, t *ledger.Task, w *worker) bool {
	return !m.yields(ws, t) || m.admits(ws, step, w)
}

// mayYield reports whether the new tasks of a step leave room to finite steps: those of a long-running one
// that is neither a gang nor a guest, which has been offered its room, unless it lacks its first run.
func (m *Machine) mayYield(e *ledger.Entry, occurrence int, step *workload.Step, state *ledger.Step) bool {
	return step.LongRunning && !step.Gang && !e.Guest() && !m.lacksFirstRun(e, occurrence, state)
}

// lacksFirstRun reports whether a long-running submission has waited for firstTaskDelay and has no run. The
// wait goes on over takeovers, and also if the clock of the node that accepted it is ahead.
func (m *Machine) lacksFirstRun(e *ledger.Entry, occurrence int, state *ledger.Step) bool {
	if len(m.byEntry[e.ID]) > 0 {
		return false
	}
	waited := m.wall.Sub(e.DueAt(occurrence))
	if wait := m.longWaits[state]; wait != nil {
		waited = max(waited, m.now-wait.first)
	}
	return waited >= firstTaskDelay
}

// admits reports whether a new task of a long-running step may be placed on a worker.
func (m *Machine) admits(ws *waitingStep, step *workload.Step, w *worker) bool {
	return m.finiteRoom.admits(classOfStep(ws), taking{w, reservation(step).MilliCPU})
}

// movesThatLeaveRoom returns the moves of runs to make room for a new task that leave enough room to finite
// steps.
func (m *Machine) movesThatLeaveRoom(ws *waitingStep, step *workload.Step, moves []runMove) []runMove {
	return slices.DeleteFunc(moves, func(move runMove) bool {
		moved := reservation(move.run.step).MilliCPU
		return !m.finiteRoom.admits(classOfStep(ws), taking{move.run.worker, reservation(step).MilliCPU - moved}, taking{move.to, moved})
	})
}

// workersThatLeaveRoom returns the workers that may be held for a long-running step: if it yields to finite
// steps, those that have room once their finite runs have ended, and room that finite steps don't need.
func (m *Machine) workersThatLeaveRoom(ws *waitingStep, workers []*worker) []*worker {
	step := &ws.entry.Steps[ws.stepIndex]
	if !ws.yields {
		return workers
	}
	var out []*worker
	for _, w := range workers {
		if w.hasRoomInTime(step) && m.admits(ws, step, w) {
			out = append(out, w)
		}
	}
	return out
}
