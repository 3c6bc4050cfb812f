package dispatch

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// aheadMargin is how much longer than a stop a run that was recorded ahead waits for the room that
// the stop frees: the report of the end arrives, and is handled, within it.
const aheadMargin = 500 * time.Millisecond

// roomTaken blocks the start of a run that was recorded ahead until runs on its worker have ended.
const roomTaken = "runs exceed the worker's capacity"

// clearingWorkers returns the workers on which runs are being stopped whose ends are to be expected
// within the time of a stop.
func (m *Machine) clearingWorkers(workers []*worker) []*worker {
	var out []*worker
	for _, w := range workers {
		if m.roomSoon(w) != (hostapi.Resources{}) {
			out = append(out, w)
		}
	}
	return out
}

// roomSoon returns the part of reserved that becomes free within the time of a stop. A stop without
// an answer may not have been carried out.
func (m *Machine) roomSoon(w *worker) hostapi.Resources {
	var sum hostapi.Resources
	for _, r := range w.runList {
		if r.phase == stopping && !r.inherited && !r.unansweredStop && m.now <= r.confirmedAt+m.config.StopTime+stopMargin {
			sum = sum.Add(reservation(r.step))
		}
	}
	return sum
}

// placeAhead places tasks of a long-running step in room that is being cleared, so that their
// placements are in the log when the ends of the last runs there are listed. It returns the number
// of tasks.
func (m *Machine) placeAhead(clearing *candidates, ws *waitingStep, limit int) int {
	step := &ws.entry.Steps[ws.stepIndex]
	if len(clearing.workers) == 0 || ws.leaving != nil || step.Gang || clearing.failed.covers(ws) {
		return 0
	}
	placed := 0
	for _, t := range m.withinCap(ws, m.unclaimedTasks(ws)) {
		if placed >= limit {
			return placed
		}
		w := m.bestClearing(clearing.workers, ws, step, t)
		if w == nil {
			clearing.failed.addTask(ws, m.yields(ws, t))
			if !ws.yields && m.yields(ws, t) {
				continue
			}
			return placed
		}
		m.countOvertaking(ws.state, step, w)
		r := m.place(ws, t, t.Run+1, w)
		if r == nil {
			return placed
		}
		m.recordAhead(r)
		placed++
	}
	return placed
}

// bestClearing returns the worker with the highest score among those that can take a task of a step
// once the runs that are being stopped have ended, or nil.
func (m *Machine) bestClearing(workers []*worker, ws *waitingStep, step *workload.Step, t *ledger.Task) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range workers {
		if !suits(ws, step, w) || !reservation(step).Fits(w.free().Add(m.roomSoon(w))) || !m.leavesRoom(ws, step, t, w) {
			continue
		}
		score := m.score(ws, step, w, "")
		if w.ID() == m.avoid[t.ID] {
			score -= avoidPenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// leaveRoom takes the workers whose room the waiting tasks of a finite step will take from those that
// are being cleared: less urgent tasks must not take it ahead of them.
func (m *Machine) leaveRoom(clearing *candidates, ws *waitingStep) {
	step, missing := &ws.entry.Steps[ws.stepIndex], 0
	if len(clearing.workers) > 0 {
		missing = m.missing(ws)
	}
	var left []*worker
	for _, w := range clearing.workers {
		if missing > 0 && suits(ws, step, w) && reservation(step).Fits(w.free().Add(m.roomSoon(w))) {
			missing--
			continue
		}
		left = append(left, w)
	}
	clearing.workers = left
}

// recordAhead records the placement of a run in room that is being cleared. The run is started when
// the room is free, or withdrawn.
func (m *Machine) recordAhead(r *run) {
	r.aheadUntil = m.now + m.config.StopTime + aheadMargin
	r.worker.setAhead(r, true)
	m.recordRun(r)
}

func (w *worker) setAhead(r *run, ahead bool) {
	if r.ahead == ahead {
		return
	}
	r.ahead = ahead
	sign := int64(1)
	if !ahead {
		sign = -1
	}
	w.ahead = addTimes(w.ahead, reservation(r.step), sign)
}

// exceedsCapacity reports whether a run can't be started because the runs that may be on its worker
// and those that are recorded to be started there need more than it has.
func (r *run) exceedsCapacity() bool {
	needed := r.worker.reserved.Sub(r.worker.ahead)
	if r.ahead {
		needed = needed.Add(reservation(r.step))
	}
	return !needed.Fits(r.worker.Capacity)
}

// startRecorded starts the runs on a worker that were recorded ahead and have room now, and withdraws
// those that can't expect it any more, the last first.
func (m *Machine) startRecorded(w *worker) {
	if w.ahead == (hostapi.Resources{}) {
		return
	}
	for _, r := range w.runList {
		if r.phase == recorded && m.now >= w.pausedUntil && m.startBlocker(r) == "" && m.starts.room() > 0 {
			w.setAhead(r, false)
			m.fillRoom(r, heldByRecord, heldByStart)
			m.sendStart(r)
		}
	}
	for _, r := range slices.Backward(w.runList) {
		if r.phase == recorded {
			if reason := m.aheadBlocker(r); reason != "" {
				m.withdraw(r, reason)
			}
		}
	}
}

// watchClearing sends a heartbeat at once, in place of after its interval, if runs that were recorded
// ahead wait for an end on a worker. The worker answers at an end, or soon after the ends that it
// lists have been recorded.
func (m *Machine) watchClearing(w *worker) {
	if w.ahead == (hostapi.Resources{}) || w.silent {
		return
	}
	if m.endWait(w) > 0 || w.lastEnd != w.cursor && !m.appendUnanswered(moveAppendTimeout) {
		w.nextHeartbeatAt = m.now
		m.heartbeatIfDue(w)
	}
}

// aheadBlocker returns the reason why a run that was recorded ahead must not wait any longer, or "".
func (m *Machine) aheadBlocker(r *run) string {
	reason := m.startBlocker(r)
	switch {
	case m.now < r.worker.pausedUntil:
		// It may have runs that this owner doesn't know.
		return "worker is paused"
	case reason == "", reason == viewTooOld, reason == leaseTooShort:
	case reason != roomTaken:
		return reason
	case !r.worker.reserved.Sub(m.roomSoon(r.worker)).Fits(r.worker.Capacity):
		return "the room has not been cleared"
	}
	if m.now >= r.aheadUntil {
		return "the room has not been cleared in time"
	}
	return ""
}

// withdraw gives up a run that was recorded and never started. Its task may be placed again.
func (m *Machine) withdraw(r *run, reason string) {
	m.emitDecision(RunRefused, r.id, r.worker.ID(), reason, 0)
	m.removeRun(r)
}
