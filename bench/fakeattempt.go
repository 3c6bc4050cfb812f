package bench

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
)

// fakeAttempt is an attempt at a worker, with its true properties.
type fakeAttempt struct {
	id         hostapi.AttemptID
	task       *fakeTask
	requests   hostapi.Resources
	startedAt  time.Duration
	progress   float64
	checkpoint float64
	savedAt    time.Duration
	throttle   float64
	// stopAt is when a stop takes effect, or 0; saving is set while it writes
	// a checkpoint first.
	stopAt time.Duration
	saving bool
	kind   scheduler.ActionKind
	moveTo *scheduler.CellID
	// seen is what the owner knows from reports.
	seen view
	// slowdown, cpu and ratio are the values of the present step.
	slowdown float64
	cpu      float64
	ratio    float64
}

// advance moves the attempt on by dt seconds and reports whether it ended.
func (a *fakeAttempt) advance(now time.Duration, dt float64, faulty bool) (ending, bool) {
	ran := now - a.startedAt
	switch {
	case faulty && ran >= faultyAfter:
		return ending{a, hostapi.AttemptFailed, "device error"}, true
	case a.task.job.impossible && ran >= impossibleAfter:
		return ending{a, hostapi.AttemptFailed, "missing input"}, true
	case ran >= memoryAfter && a.task.memory > memorySlack*float64(a.requests.MemoryMiB):
		return ending{a, hostapi.AttemptFailed, "out of memory"}, true
	}
	if a.task.job.service == nil && !a.saving {
		a.progress = min(1, a.progress+dt*a.throttle/a.slowdown/a.task.work)
	}
	if a.progress >= 1 {
		return ending{a, hostapi.AttemptCompleted, ""}, true
	}
	if now-a.savedAt >= saveEvery {
		a.checkpoint, a.savedAt = a.progress, now
	}
	if a.stopAt > 0 && now >= a.stopAt {
		if a.saving {
			a.checkpoint = a.progress
		}
		return ending{a, hostapi.AttemptStopped, ""}, true
	}
	return ending{}, false
}
