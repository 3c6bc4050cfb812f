package dispatch

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// In a shortage, each piece of room that a waiting long-running task fits goes to one and doesn't
// come back, so that finite steps of the same priority get only what no long-running task fits. A
// finite submission that isn't started in its time is lost as a whole; a long-running one that lacks
// some of its tasks goes on with the others. Therefore finite steps come first up to a share, and
// long-running ones get the rest and whatever the finite side leaves.
const (
	// finiteShare is the fraction of the CPU of a service's usable workers up to which finite runs of
	// a priority get room first, for the submissions of each class of sizes. The largest tenth of the
	// submissions has as much as all that are in neither of the larger classes.
	finiteShare = 1.0 / 24
	// shortageFrom is the fraction of the same CPU that waiting long-running tasks request from which
	// on there is a shortage, which lasts until they request less than half of that. Below it they may
	// all get room soon, and should: room of finite runs stands empty for a moment each time that one
	// ends, and long-running tasks must not wait beside empty room.
	shortageFrom = 0.25
	// shortageDelay is the time for which they request as much before. Where there is room, they get
	// it by then.
	shortageDelay = 500 * time.Millisecond
)

// shortage is the state of the room for a class of runs.
type shortage struct {
	// since is when the long-running tasks that wait began to request as much as in a shortage.
	since time.Duration
	begun bool
}

// sharedClass are the finite runs of one class that are in one class of sizes.
type sharedClass struct {
	runClass
	size SizeClass
}

// roomShares has the shares of finite runs in a planning round.
type roomShares struct {
	machine *Machine
	// left is the CPU that further finite runs may take before long-running ones, in thousandths of a
	// core. Classes that are in no shortage aren't listed.
	left map[sharedClass]int64
}

// newRoomShares determines for which classes there is a shortage, and what is left of their shares.
// Both follow from the waiting steps, the workers and their runs, so that another owner determines the
// same after shortageDelay.
func (m *Machine) newRoomShares(waiting []*waitingStep, workers []*worker) *roomShares {
	s := &roomShares{machine: m, left: make(map[sharedClass]int64)}
	capacity, requested := make(map[string]int64), make(map[runClass]int64)
	for _, w := range workers {
		capacity[w.Service] += w.Capacity.MilliCPU
	}
	for _, ws := range waiting {
		if step := &ws.entry.Steps[ws.stepIndex]; step.LongRunning {
			requested[classOfStep(ws)] += int64(m.missing(ws)) * step.Request.MilliCPU
		}
	}
	maps.DeleteFunc(m.shortages, func(class runClass, _ *shortage) bool { return requested[class] == 0 })
	for class, cpu := range requested {
		if m.inShortage(class, float64(cpu)/float64(max(1, capacity[class.service]))) {
			for size := OtherSize; size <= LargestSize; size++ {
				s.left[sharedClass{class, size}] = int64(finiteShare * float64(capacity[class.service]))
			}
		}
	}
	if len(s.left) > 0 {
		s.subtractRuns()
	}
	return s
}

// inShortage updates the state of a class whose waiting long-running tasks request a fraction of the
// CPU, and reports whether there is a shortage.
func (m *Machine) inShortage(class runClass, requested float64) bool {
	state := m.shortages[class]
	switch {
	case requested < shortageFrom/2, requested < shortageFrom && (state == nil || !state.begun):
		delete(m.shortages, class)
		return false
	case state == nil:
		state = &shortage{since: m.now}
		m.shortages[class] = state
	}
	state.begun = state.begun || m.now-state.since >= shortageDelay
	return state.begun
}

// subtractRuns subtracts the CPU that finite runs have from what is left of the shares.
func (s *roomShares) subtractRuns() {
	for _, runs := range s.machine.byEntry {
		class := s.classOf(runs[0].entry)
		if _, shared := s.left[class]; !shared {
			continue
		}
		for _, r := range runs {
			if !r.step.LongRunning && !r.step.BestEffort {
				s.left[class] -= r.step.Request.MilliCPU
			}
		}
	}
}

func (s *roomShares) classOf(e *ledger.Entry) sharedClass {
	return sharedClass{runClass{e.Policy.Service, e.Policy.Priority}, s.machine.sizeOf(e)}
}

// inTurn returns the steps in the order in which they get room: the finite ones that are below their
// share come before the other steps of their priority.
func (s *roomShares) inTurn(waiting []*waitingStep) iter.Seq[*waitingStep] {
	return func(yield func(*waitingStep) bool) {
		for len(waiting) > 0 {
			n := 1
			for n < len(waiting) && waiting[n].priority == waiting[0].priority {
				n++
			}
			if !s.yieldFirst(waiting[:n], yield) {
				return
			}
			for _, ws := range waiting[:n] {
				if !ws.shared && !yield(ws) {
					return
				}
			}
			waiting = waiting[n:]
		}
	}
}

// yieldFirst returns the steps of one priority that come first, as far as their shares go: those that
// can be in time before the others, and among them those of the sizes that use the least of their
// share.
func (s *roomShares) yieldFirst(waiting []*waitingStep, yield func(*waitingStep) bool) bool {
	var first []*waitingStep
	for _, ws := range waiting {
		if s.comesFirst(ws) {
			first = append(first, ws)
		}
	}
	slices.SortStableFunc(first, func(a, b *waitingStep) int {
		return cmp.Or(cmp.Compare(a.turn(), b.turn()), cmp.Compare(a.level, b.level), cmp.Compare(a.timeliness, b.timeliness), cmp.Compare(s.left[s.classOf(b.entry)], s.left[s.classOf(a.entry)]))
	})
	for _, ws := range first {
		if !s.comesFirst(ws) {
			continue
		}
		ws.shared = true
		before := s.machine.occupied[ws.state]
		if !yield(ws) {
			return false
		}
		s.left[s.classOf(ws.entry)] -= int64(s.machine.occupied[ws.state]-before) * ws.entry.Steps[ws.stepIndex].Request.MilliCPU
	}
	return true
}

// comesFirst reports whether a step is a finite one of a submission that may still be of use, and
// a task of it is within its share.
func (s *roomShares) comesFirst(ws *waitingStep) bool {
	step := &ws.entry.Steps[ws.stepIndex]
	return len(s.left) > 0 && !step.LongRunning && !step.BestEffort && ws.timeliness != veryLate && s.tasksWithin(ws.entry, step, 0) > 0
}

// tasksWithin returns how many tasks of a step are within the share of its class if runs that have
// some CPU were not there. Shares are rounded to whole tasks.
func (s *roomShares) tasksWithin(e *ledger.Entry, step *workload.Step, without int64) int64 {
	left, shared := s.left[s.classOf(e)]
	if !shared {
		return 0
	}
	cpu := max(1, step.Request.MilliCPU)
	return max(0, (left+without+cpu/2)/cpu)
}

// limit returns how many tasks of a step may be placed in its turn.
func (s *roomShares) limit(ws *waitingStep) int {
	if !ws.shared {
		return workload.MaxTasks
	}
	return int(s.tasksWithin(ws.entry, &ws.entry.Steps[ws.stepIndex], 0))
}

// protects reports whether a finite run keeps its room although a long-running task of its priority
// waits: it is within its share.
func (s *roomShares) protects(r *run) bool {
	return len(s.left) > 0 && s.tasksWithin(r.entry, r.step, r.step.Request.MilliCPU) > 0
}
