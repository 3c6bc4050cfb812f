package dispatch

import (
	"slices"
	"time"
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
	// firstTaskDelay is how long after its due time a long-running submission without a run gets the
	// first one also in room that finite steps need: a submission without any serves nobody.
	firstTaskDelay = 4 * time.Second
)

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

// pieceRoom is the room on the workers that the finite steps of a demand can use.
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
