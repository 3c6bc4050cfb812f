package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
)

const (
	// pieceReportDelay is how long a task waits before a report on pieces counts it.
	pieceReportDelay = waitReportInterval
	// pieceReportInterval is the time between two checks for such tasks.
	pieceReportInterval = time.Second
)

// pieceBounds are the bounds between the sizes of pieces of free CPU in a report, in thousandths of
// a core.
var pieceBounds = [...]int64{1000, 2000, 4000, 8000, 12000, 16000, 24000}

// WaitingClass is a kind of tasks that wait for CPU.
type WaitingClass int

// Classes of waiting tasks: long-running tasks that have had a run, those that have had none, and
// the tasks of finite submissions by the size of these. Best-effort tasks reserve no CPU.
const (
	InterruptedTask WaitingClass = iota
	NewLongRunningTask
	OtherFiniteTask
	LargeFiniteTask
	LargestFiniteTask
	waitingClassCount
)

// String returns the class's name in metrics and logs.
func (c WaitingClass) String() string {
	return [...]string{"interrupted long-running", "new long-running", "other finite", "large finite", "largest finite"}[c]
}

// UnplacedTasks are the tasks of a class that have waited for pieceReportDelay and fit no worker.
type UnplacedTasks struct {
	Class WaitingClass
	Tasks int
	// Suspects are those that are suspected of a crash, which start on a worker alone.
	Suspects int
	// InTime are those that would fit a worker if its finite runs had ended, Whole those that would
	// fit if the free CPU of their service's workers were one piece, with the most urgent first.
	InTime, Whole int
	// Requested and Smallest are CPU in thousandths of a core, of all and of the smallest of them.
	Requested, Smallest int64
	// Scattered is the free CPU on workers that have less than Smallest.
	Scattered int64
}

func (u UnplacedTasks) String() string {
	return fmt.Sprintf("%d %v tasks for %dm (the smallest for %dm, below which %dm are free), %d fit if finite runs end, %d in one piece, %d suspected of a crash",
		u.Tasks, u.Class, u.Requested, u.Smallest, u.Scattered, u.InTime, u.Whole, u.Suspects)
}

// pieceReport says how the free CPU of the usable workers is divided, and which tasks fit none of
// its pieces.
type pieceReport struct {
	workers []*worker
	// free has the sum of the pieces up to each of pieceBounds, and of the larger ones.
	free [len(pieceBounds) + 1]int64
	// left is what is left of the free CPU of each service for tasks that come later.
	left map[string]int64
	// nowhere and nowhereInTime are the requests that no worker has room for, now and once its finite
	// runs have ended.
	nowhere, nowhereInTime unplaceable
	unplaced               [waitingClassCount]UnplacedTasks
}

// reportPieces emits a decision with the pieces of free CPU if a task that has waited fits none of
// them.
func (m *Machine) reportPieces(waiting []*waitingStep) {
	if m.now-m.piecesCheckedAt < pieceReportInterval {
		return
	}
	m.piecesCheckedAt = m.now
	r := m.newPieceReport()
	for _, ws := range waiting {
		m.addToPieceReport(r, ws)
	}
	unplaced := r.classes()
	if len(unplaced) == 0 {
		return
	}
	m.emit(Decision{Kind: PiecesReported, Reason: r.describe(unplaced), Unplaced: unplaced})
}

func (m *Machine) newPieceReport() *pieceReport {
	r := &pieceReport{workers: m.usableWorkers(), left: make(map[string]int64), nowhere: make(unplaceable), nowhereInTime: make(unplaceable)}
	for _, w := range r.workers {
		free := max(0, w.free().MilliCPU)
		r.left[w.Service] += free
		size, _ := slices.BinarySearch(pieceBounds[:], free+1)
		r.free[size] += free
	}
	return r
}

// addToPieceReport adds the tasks of a step. Finite submissions that are of no use any more are left
// out.
func (m *Machine) addToPieceReport(r *pieceReport, ws *waitingStep) {
	step := &ws.entry.Steps[ws.stepIndex]
	wait := m.longWaits[ws.state]
	if step.BestEffort || ws.timeliness == veryLate || wait == nil {
		return
	}
	tasks := slices.DeleteFunc(m.waitingTasks(ws.state.Tasks), func(t *ledger.Task) bool {
		return m.claims[t.ID] != nil || m.now-wait.waitingSince(t.ID, m.now) < pieceReportDelay
	})
	if len(tasks) == 0 {
		return
	}
	fits := r.search(r.nowhere, ws, func(w *worker) bool { return w.hasRoom(step) && suits(ws, step, w) })
	inTime := fits || r.search(r.nowhereInTime, ws, func(w *worker) bool { return w.hasRoomInTime(step) && suits(ws, step, w) })
	request, service := step.Request.MilliCPU, ws.entry.Policy.Service
	for _, t := range tasks {
		whole := r.left[service] >= request
		if whole {
			r.left[service] -= request
		}
		if fits {
			continue
		}
		u := &r.unplaced[m.waitingClassOf(ws, t)]
		u.add(request, inTime, whole)
		if ws.entry.EverSuspected() && ws.entry.CrashRecordOf(t).Suspect {
			u.Suspects++
		}
	}
}

// search reports whether a worker takes a step, and notes the step in failed if none does.
func (r *pieceReport) search(failed unplaceable, ws *waitingStep, takes func(*worker) bool) bool {
	if failed.covers(ws) {
		return false
	}
	if slices.ContainsFunc(r.workers, takes) {
		return true
	}
	failed.add(ws)
	return false
}

func (m *Machine) waitingClassOf(ws *waitingStep, t *ledger.Task) WaitingClass {
	switch {
	case !ws.entry.Steps[ws.stepIndex].LongRunning:
		return OtherFiniteTask + WaitingClass(m.sizeOf(ws.entry))
	case t.Run > 0:
		return InterruptedTask
	}
	return NewLongRunningTask
}

func (u *UnplacedTasks) add(request int64, inTime, whole bool) {
	if u.Tasks == 0 || request < u.Smallest {
		u.Smallest = request
	}
	u.Tasks++
	u.Requested += request
	if inTime {
		u.InTime++
	}
	if whole {
		u.Whole++
	}
}

// classes returns the classes of which tasks fit no worker.
func (r *pieceReport) classes() []UnplacedTasks {
	var out []UnplacedTasks
	for class, u := range r.unplaced {
		if u.Tasks == 0 {
			continue
		}
		u.Class = WaitingClass(class)
		for _, w := range r.workers {
			if free := w.free().MilliCPU; free < u.Smallest {
				u.Scattered += max(0, free)
			}
		}
		out = append(out, u)
	}
	return out
}

func (r *pieceReport) describe(unplaced []UnplacedTasks) string {
	total := int64(0)
	pieces := make([]string, 0, len(r.free))
	for size, free := range r.free {
		total += free
		if size < len(pieceBounds) {
			pieces = append(pieces, fmt.Sprintf("%dm below %dm", free, pieceBounds[size]))
		} else {
			pieces = append(pieces, fmt.Sprintf("%dm above", free))
		}
	}
	waiting := make([]string, 0, len(unplaced))
	for _, u := range unplaced {
		waiting = append(waiting, u.String())
	}
	return fmt.Sprintf("%d usable workers have %dm free, in pieces of: %s; no worker has room for: %s",
		len(r.workers), total, strings.Join(pieces, ", "), strings.Join(waiting, "; "))
}
