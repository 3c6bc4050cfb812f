package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Limits of the reports on tasks that wait.
const (
	// waitReportDelay is how long a long-running task waits before it is reported, and
	// the minimum time between two reports on its step.
	waitReportDelay = 2 * time.Second
	// bestEffortReportDelay and finiteReportDelay are the same for steps of best-effort
	// and of other finite tasks none of which has had a run.
	bestEffortReportDelay = bestEffortWaitBound + 2*time.Second
	finiteReportDelay     = 30 * time.Second
	// waitReportInterval is the time between two checks for such tasks.
	waitReportInterval = 500 * time.Millisecond
	// maxWaitReports limits the reports of one check on long-running tasks;
	// maxFiniteWaitReports limits those on best-effort and on other finite tasks, each.
	maxWaitReports       = 5
	maxFiniteWaitReports = 1
)

// taskKind says which bound applies to the wait of a step's tasks.
type taskKind int

// Kinds of tasks.
const (
	longRunningTask taskKind = iota
	bestEffortTask
	finiteTask
)

func kindOf(step *workload.Step) taskKind {
	switch {
	case step.LongRunning:
		return longRunningTask
	case step.BestEffort:
		return bestEffortTask
	}
	return finiteTask
}

// String returns the kind's name in logs.
func (k taskKind) String() string {
	return [...]string{"long-running", "best-effort", "finite"}[k]
}

// reportDelay returns how long tasks of a kind wait before they are reported.
func (k taskKind) reportDelay() time.Duration {
	return [...]time.Duration{waitReportDelay, bestEffortReportDelay, finiteReportDelay}[k]
}

// maxReports returns the limit of the reports of one check on tasks of a kind.
func (k taskKind) maxReports() int {
	return [...]int{maxWaitReports, maxFiniteWaitReports, maxFiniteWaitReports}[k]
}

// reportWaiting emits a decision for each step with a long-running task that has had no
// run for its kind's delay, and for each other step of which no task has had one, with the
// reasons for which the workers do not take it.
func (m *Machine) reportWaiting() {
	if m.now-m.longWaitsAt < waitReportInterval {
		return
	}
	m.longWaitsAt = m.now
	waits := make(map[*ledger.Step]*longWait)
	m.longRunningWaits = m.longRunningWaits[:0]
	var reports [finiteTask + 1]int
	waiting := m.waitingSteps()
	for _, ws := range waiting {
		step := &ws.entry.Steps[ws.stepIndex]
		wait := &longWait{waiting: *ws, service: ws.entry.Policy.Service, step: step, seenAt: m.now, idleSince: m.now, reportedAt: m.now}
		if known := m.longWaits[ws.state]; known != nil {
			*wait = *known
		}
		waits[ws.state] = wait
		kind := kindOf(step)
		if kind == bestEffortTask {
			m.bestEffortWaitOf(ws.entry, ws.state)
		}
		since := wait.idleSince
		if kind == longRunningTask {
			m.longRunningWaits = append(m.longRunningWaits, wait)
			since = m.updateSince(wait, ws)
		} else if m.occupied[ws.state] > 0 {
			wait.idleSince = m.now
			continue
		}
		if delay := kind.reportDelay(); m.now-since >= delay && m.now-wait.reportedAt >= delay && reports[kind] < kind.maxReports() {
			reports[kind]++
			m.reportWait(wait, ws, kind, since)
		}
	}
	m.longWaits = waits
	m.reportRoom()
	m.reportPieces(waiting)
	maps.DeleteFunc(m.bestEffortWaits, func(_ *ledger.Step, w *bestEffortWait) bool {
		return w.entry.State().Final() || m.ledger.Find(w.entry.ID) != w.entry
	})
	m.updateInterruptions()
}

func (m *Machine) reportWait(wait *longWait, ws *waitingStep, kind taskKind, since time.Duration) {
	tasks := m.waitingTasks(ws.state.Tasks)
	if len(tasks) == 0 {
		return
	}
	longest := slices.MinFunc(tasks, func(a, b *ledger.Task) int { return cmp.Compare(wait.since[a.ID], wait.since[b.ID]) })
	reason := fmt.Sprintf("%d tasks wait, %sovertaken by %d runs; %v; a %v task", len(tasks), m.places.describe(ws.state), wait.overtaken, m.explainWait(ws), kind)
	if m.atCap(ws) {
		reason = m.describeAtCap(ws.entry) + "; " + reason
	}
	m.emitDecision(TaskWaiting, workload.RunID{Task: longest.ID, Run: longest.Run + 1}, m.avoid[longest.ID], reason, m.now-since)
	wait.reportedAt, wait.overtaken = m.now, 0
}

// updateSince updates the waiting tasks of a step and returns since when the one that waits
// longest has waited, or the present if none waits.
func (m *Machine) updateSince(wait *longWait, ws *waitingStep) time.Duration {
	since := make(map[workload.TaskID]time.Duration)
	oldest := m.now
	for _, t := range m.waitingTasks(ws.state.Tasks) {
		at, known := wait.since[t.ID]
		if !known {
			at = m.now
		}
		since[t.ID] = at
		oldest = min(oldest, at)
	}
	wait.since, wait.first = since, oldest
	return oldest
}

// countOvertaking counts a run of another step that is about to be placed on a worker
// for each waiting long-running step that the worker has free capacity for.
func (m *Machine) countOvertaking(state *ledger.Step, step *workload.Step, w *worker) {
	if step.BestEffort {
		return
	}
	free := w.free()
	for _, wait := range m.longRunningWaits {
		if wait.waiting.state != state && wait.service == w.Service && w.HasLabel(wait.step.Label) && wait.step.Request.Fits(free) {
			wait.overtaken++
		}
	}
}

// waitReasons counts the workers by the first reason for which they do not take a
// task.
type waitReasons struct {
	request hostapi.Resources
	// unusable workers are not listed, have not reported, or are silent, draining,
	// evacuated or paused.
	unusable, otherKind, noCPU, noMemory, interference, perWorkerLimit, fits int
	// refusals counts the workers in interference by the reason.
	refusals refusalCounts
	// held are the workers counted in noCPU or noMemory that could take the task if only the
	// runs that they list as active were reserved.
	held heldCounts
	// roomInTime are the workers counted in noCPU or noMemory that could take the task if their
	// finite runs ended.
	roomInTime int
	// mostFree is the most free CPU and memory of a usable worker.
	mostFree hostapi.Resources
}

func (m *Machine) explainWait(ws *waitingStep) waitReasons {
	step := &ws.entry.Steps[ws.stepIndex]
	r := waitReasons{request: reservation(step)}
	for _, w := range m.sorted {
		free := w.free()
		if w.Service != ws.entry.Policy.Service || !w.HasLabel(step.Label) {
			r.otherKind++
			continue
		}
		if !m.usable(w) && (!step.LongRunning || !m.acceptsLongRunning(w)) {
			r.unusable++
			continue
		}
		switch {
		case r.request.MilliCPU > free.MilliCPU:
			r.noCPU++
		case !r.request.Fits(free):
			r.noMemory++
		case step.BestEffort && !m.fitsColocated(ws, step, w):
			r.interference++
			r.refusals[m.colocationRefusal(ws.image, step, w)]++
		case !m.fits(ws, step, w):
			r.perWorkerLimit++
		default:
			r.fits++
		}
		if !r.request.Fits(free) {
			r.held.add(w, free, r.request)
			if w.hasRoomInTime(step) {
				r.roomInTime++
			}
		}
		r.mostFree.MilliCPU = max(r.mostFree.MilliCPU, free.MilliCPU)
		r.mostFree.MemoryMiB = max(r.mostFree.MemoryMiB, free.MemoryMiB)
	}
	return r
}

func (r waitReasons) String() string {
	return fmt.Sprintf("requests %dm CPU and %d MiB, most free %dm and %d MiB; workers: %d unusable, %d of another kind, %d without CPU, %d without memory, %d with interference (%v), %d at the limit per worker, %d fit; %v are full because of room that no active run uses, %d because of finite runs",
		r.request.MilliCPU, r.request.MemoryMiB, r.mostFree.MilliCPU, r.mostFree.MemoryMiB,
		r.unusable, r.otherKind, r.noCPU, r.noMemory, r.interference, r.refusals, r.perWorkerLimit, r.fits, r.held, r.roomInTime)
}
