package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// longWait is a step with tasks that have no run.
type longWait struct {
	waiting waitingStep
	service string
	step    *workload.Step
	// seenAt is when the step was first seen with such tasks.
	seenAt time.Duration
	// idleSince is when the step was last seen with a run or, before that, first seen.
	idleSince time.Duration
	// since is when each task of a long-running step was first seen without a run.
	since map[workload.TaskID]time.Duration
	// first is the earliest of since.
	first time.Duration
	// reportedAt is when the step was last reported or, before that, first seen.
	reportedAt time.Duration
	// overtaken is the number of runs of other steps that were placed since then on a
	// worker with enough free capacity for a task of this step.
	overtaken int
	// searchedAt is when other cells were last searched for free capacity.
	searchedAt time.Duration
}

// waitingSince returns when a task of the step was first seen without a run, or the
// present if that was after the last check.
func (w *longWait) waitingSince(id workload.TaskID, now time.Duration) time.Duration {
	if !w.step.LongRunning {
		return w.seenAt
	}
	if since, known := w.since[id]; known {
		return since
	}
	return now
}

// hasWaited reports whether a task of a long-running step has waited for a time. first spares
// looking the task up while none of the step has.
func (w *longWait) hasWaited(id workload.TaskID, now, d time.Duration) bool {
	return now-w.first >= d && now-w.waitingSince(id, now) >= d
}

// oldest returns when the first of the step's tasks was first seen without a run.
func (w *longWait) oldest() time.Duration {
	oldest := w.seenAt
	for i, since := range slices.Collect(maps.Values(w.since)) {
		if i == 0 || since < oldest {
			oldest = since
		}
	}
	return oldest
}
