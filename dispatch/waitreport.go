package dispatch

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Limits of the reports on long-running tasks that wait.
const (
	// waitReportDelay is how long a long-running task waits before it is reported, and
	// the minimum time between two reports on its step.
	waitReportDelay = 2 * time.Second
	// waitReportInterval is the time between two checks for such tasks.
	waitReportInterval = 500 * time.Millisecond
	// maxWaitReports limits the reports of one check.
	maxWaitReports = 5
)

// reportWaiting emits a decision for each step with a long-running task that has had
// no run for waitReportDelay, with the reasons for which the workers do not take it.
func (m *Machine) reportWaiting() {
	if m.now-m.longWaitsAt < waitReportInterval {
		return
	}
	m.longWaitsAt = m.now
	waits := make(map[*ledger.Step]*longWait)
	m.longRunningWaits = m.longRunningWaits[:0]
	reports := 0
	for _, ws := range m.waitingSteps() {
		step := &ws.entry.Steps[ws.stepIndex]
		if !step.LongRunning && m.config.CellOf == nil {
			continue
		}
		wait := &longWait{waiting: ws, service: ws.entry.Policy.Service, step: step, seenAt: m.now, reportedAt: m.now}
		if known := m.longWaits[ws.state]; known != nil {
			*wait = *known
		}
		waits[ws.state] = wait
		if !step.LongRunning {
			continue
		}
		m.longRunningWaits = append(m.longRunningWaits, wait)
		longest := m.updateSince(wait, &ws)
		if longest != nil && m.now-wait.since[longest.ID] >= waitReportDelay && m.now-wait.reportedAt >= waitReportDelay && reports < maxWaitReports {
			reports++
			reason := fmt.Sprintf("%d tasks wait, overtaken by %d runs; %v", len(wait.since), wait.overtaken, m.explainWait(&ws))
			m.emitDecision(TaskWaiting, workload.RunID{Task: longest.ID, Run: longest.Run + 1}, m.avoid[longest.ID], reason, m.now-wait.since[longest.ID])
			wait.reportedAt, wait.overtaken = m.now, 0
		}
	}
	m.longWaits = waits
	m.updateInterruptions()
}

// updateSince updates the waiting tasks of a step and returns the one that waits
// longest, or nil if none waits.
func (m *Machine) updateSince(wait *longWait, ws *waitingStep) *ledger.Task {
	since := make(map[workload.TaskID]time.Duration)
	var longest *ledger.Task
	for _, t := range m.waitingTasks(ws.state.Tasks) {
		at, known := wait.since[t.ID]
		if !known {
			at = m.now
		}
		since[t.ID] = at
		if longest == nil || at < since[longest.ID] {
			longest = t
		}
	}
	wait.since = since
	return longest
}

// countOvertaking counts a run of another step that is about to be placed on a worker
// for each waiting long-running step that the worker has free capacity for.
func (m *Machine) countOvertaking(state *ledger.Step, step *workload.Step, w *worker) {
	if step.BestEffort {
		return
	}
	free := w.Capacity.Sub(w.reserved).Sub(w.claimed)
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
	// heldByUnlisted are the workers counted in noCPU or noMemory that could take the
	// task if only the runs that they list as active were reserved.
	heldByUnlisted int
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
		free := w.Capacity.Sub(w.reserved).Sub(w.claimed)
		if w.Service != ws.entry.Policy.Service || !w.HasLabel(step.Label) {
			r.otherKind++
			continue
		}
		if !m.usable(w) {
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
		case !m.fits(ws, step, w):
			r.perWorkerLimit++
		default:
			r.fits++
		}
		if !r.request.Fits(free) {
			if r.request.Fits(free.Add(w.reservedByUnlisted())) {
				r.heldByUnlisted++
			}
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
	return fmt.Sprintf("requests %dm CPU and %d MiB, most free %dm and %d MiB; workers: %d unusable, %d of another kind, %d without CPU, %d without memory, %d with interference, %d at the limit per worker, %d fit; %d are full because of runs that they do not list as active, %d because of finite runs",
		r.request.MilliCPU, r.request.MemoryMiB, r.mostFree.MilliCPU, r.mostFree.MemoryMiB,
		r.unusable, r.otherKind, r.noCPU, r.noMemory, r.interference, r.perWorkerLimit, r.fits, r.heldByUnlisted, r.roomInTime)
}
