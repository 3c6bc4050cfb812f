package dispatch

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// TimeUse is what a submission spends its time on.
type TimeUse int

// Uses of a submission's time.
const (
	// UseUnknown: before this owner knew the submission.
	UseUnknown TimeUse = iota
	// UseRun: none of its tasks waits, and they run for the first time.
	UseRun
	// UseStart: no task waits for a place, and a run is being recorded or started.
	UseStart
	// UseRunAgain: the tasks that are left had a run that failed, was lost or was stopped.
	UseRunAgain
	// UseDisplaced: the same, and a run of them was stopped to make room.
	UseDisplaced
	// UseNoRoom: a task waits, and no worker would have room for it if all finite runs ended.
	UseNoRoom
	// UseLittleRoom: tasks wait, and the workers would have room for only some of them if all
	// finite runs ended.
	UseLittleRoom
	// UseOccupied: a task waits, and finite runs occupy the room for it.
	UseOccupied
	// UseHeld: a task waits, and only workers that are held for other tasks have room for it.
	UseHeld
	// UseOrder: a task waits, and a worker has room for it: other steps come first, or no
	// planning round has run.
	UseOrder
	// UseColocation: the same for a best-effort task. Mostly, tasks with a latency target there
	// could not keep it beside this one.
	UseColocation
	// UseCap: a task waits, and its tenant is at its cap.
	UseCap
	timeUseCount
)

// String returns the name in metrics and logs.
func (u TimeUse) String() string {
	return [...]string{"unknown", "run", "start", "run again", "displaced", "no room", "little room", "occupied", "held", "order", "colocation", "cap"}[u]
}

// TimeUses are the times that submissions spent, by what on.
type TimeUses [timeUseCount]time.Duration

// Most returns the use that took the most time.
func (t *TimeUses) Most() TimeUse {
	most := UseUnknown
	for use, spent := range t {
		if spent > t[most] {
			most = TimeUse(use)
		}
	}
	return most
}

// String returns the uses that took time, for logs.
func (t *TimeUses) String() string {
	var parts []string
	for use, spent := range t {
		if spent > 0 {
			parts = append(parts, fmt.Sprintf("%v %v", TimeUse(use), spent.Round(timeUseInterval)))
		}
	}
	return strings.Join(parts, ", ")
}

// timeUseInterval is the time between two observations of what submissions spend time on.
const timeUseInterval = 250 * time.Millisecond

// timeAccounts have the time uses of the submissions that haven't been counted as served or not,
// and those that have and are not final.
type timeAccounts struct {
	uses    map[*ledger.Entry]*TimeUses
	counted map[*ledger.Entry]bool
	// judged are those whose outcome counts in the balance of their queue.
	judged map[*ledger.Entry]bool
	at     time.Duration
}

func newTimeAccounts(now time.Duration) timeAccounts {
	return timeAccounts{uses: make(map[*ledger.Entry]*TimeUses), counted: make(map[*ledger.Entry]bool), judged: make(map[*ledger.Entry]bool), at: now}
}

func (a *timeAccounts) forgetFinal() {
	maps.DeleteFunc(a.uses, func(e *ledger.Entry, _ *TimeUses) bool { return e.State().Final() })
	maps.DeleteFunc(a.counted, func(e *ledger.Entry, _ bool) bool { return e.State().Final() })
	maps.DeleteFunc(a.judged, func(e *ledger.Entry, _ bool) bool { return e.State().Final() })
}

// observeTimeUses adds the time since the last observation to what each submission spends it on
// now. Submissions with a long-running step never complete, guests are observed by their own cell.
func (m *Machine) observeTimeUses() {
	passed := m.now - m.times.at
	if passed < timeUseInterval {
		return
	}
	m.times.at = m.now
	m.forgetExpectations()
	m.times.forgetFinal()
	rooms := newRoomIndex(m.usableWorkers(), m.held)
	for _, e := range m.ledger.Live() {
		if e.Guest() || e.State().Final() || hasLongRunningStep(e) {
			continue
		}
		last := e.OccurrenceCount() - 1
		elapsed := m.wall.Sub(e.DueAt(last))
		if elapsed <= 0 || m.times.counted[e] {
			continue
		}
		if elapsed > m.expected(e).objective && e.State() == workload.Queued && !hasBestEffortStep(e) {
			m.judge(e, false)
		}
		uses := m.times.uses[e]
		if uses == nil {
			uses = &TimeUses{UseUnknown: max(0, elapsed-passed)}
			m.times.uses[e] = uses
		}
		uses[m.timeUseOf(e, last, rooms)] += min(passed, elapsed)
	}
}

// timeUseOf returns what an occurrence spends its time on now.
func (m *Machine) timeUseOf(e *ledger.Entry, number int, rooms *roomIndex) TimeUse {
	o := e.Occurrence(number)
	use := UseRun
	for s := range o.Steps {
		state := &o.Steps[s]
		if state.Done() || !o.Ready(e.Steps, s) {
			continue
		}
		use = max(use, m.timeUseOfStep(e, number, s, state, rooms))
	}
	return use
}

func (m *Machine) timeUseOfStep(e *ledger.Entry, number, index int, state *ledger.Step, rooms *roomIndex) TimeUse {
	left, again, displaced, beginning := 0, 0, 0, 0
	for i := range state.Tasks {
		t := &state.Tasks[i]
		if t.Done {
			continue
		}
		left++
		r := m.active[t.ID]
		if t.Run > 1 || t.Run == 1 && r == nil {
			again++
		}
		if m.displacements[t.ID].count > 0 {
			displaced++
		}
		if r != nil && (r.phase == recording || r.phase == starting) {
			beginning++
		}
	}
	waiting := state.Local() - m.occupied[state]
	switch {
	case again == left && displaced > 0:
		return UseDisplaced
	case again == left:
		return UseRunAgain
	case waiting > 0:
		ws := &waitingStep{entry: e, occurrence: number, stepIndex: index, state: state}
		if m.atCap(ws) {
			return UseCap
		}
		return rooms.timeUse(ws, &e.Steps[index], waiting)
	case beginning > 0:
		return UseStart
	}
	return UseRun
}

// roomIndex has the room of workers for requests.
type roomIndex struct {
	workers []*worker
	held    map[*worker]bool
	rooms   map[requestKey]roomForRequest
}

type requestKey struct {
	constraints
	cpu, memory, accelerators int64
}

// roomForRequest is the room for tasks of one request. inTime is the number of tasks that fit once
// all finite runs have ended; free and freeHeld report whether one fits a worker now that isn't
// held, and one that is.
type roomForRequest struct {
	inTime         int
	free, freeHeld bool
}

func newRoomIndex(workers, held []*worker) *roomIndex {
	x := &roomIndex{workers: workers, held: make(map[*worker]bool, len(held)), rooms: make(map[requestKey]roomForRequest)}
	for _, w := range held {
		x.held[w] = true
	}
	return x
}

// timeUse returns what a step spends its time on of which a number of tasks wait.
func (x *roomIndex) timeUse(ws *waitingStep, step *workload.Step, waiting int) TimeUse {
	room := x.room(ws, step)
	switch {
	case room.free && step.BestEffort:
		return UseColocation
	case room.free:
		return UseOrder
	case room.freeHeld:
		return UseHeld
	case room.inTime == 0:
		return UseNoRoom
	case room.inTime < waiting:
		return UseLittleRoom
	}
	return UseOccupied
}

func (x *roomIndex) room(ws *waitingStep, step *workload.Step) roomForRequest {
	request := reservation(step)
	key := requestKey{constraintsOf(ws, step), request.MilliCPU, request.MemoryMiB, request.Accelerators}
	if room, known := x.rooms[key]; known {
		return room
	}
	var room roomForRequest
	for _, w := range x.workers {
		if !suits(ws, step, w) {
			continue
		}
		room.inTime += timesFits(request, w.freeInTime())
		if w.hasRoom(step) {
			room.free, room.freeHeld = room.free || !x.held[w], room.freeHeld || x.held[w]
		}
	}
	x.rooms[key] = room
	return room
}

// timesFits returns how often a request fits the room, at most workload.MaxTasks.
func timesFits(request, room hostapi.Resources) int {
	n := int64(workload.MaxTasks)
	for _, d := range [][2]int64{{request.MilliCPU, room.MilliCPU}, {request.MemoryMiB, room.MemoryMiB}, {request.Accelerators, room.Accelerators}} {
		if d[0] > 0 {
			n = min(n, max(0, d[1])/d[0])
		}
	}
	return int(n)
}
