package bench

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
)

// fakeAttempt is an attempt at a worker, with its true properties.
type fakeAttempt struct {
	id                 hostapi.AttemptID
	task               *fakeTask
	requests           hostapi.Resources
	startedAt          time.Duration
	progress           float64
	checkpointProgress float64
	checkpointAt       time.Duration
	throttle           float64
	// stopAt is when a requested stop takes effect, or 0. checkpointing is set
	// if the attempt writes a checkpoint before it stops.
	stopAt        time.Duration
	checkpointing bool
	lastAction    scheduler.ActionKind
	moveTo        *scheduler.CellID
	// reported is the last usage report that the owner has received.
	reported attemptReport
	// slowdown, cpu and targetRatio are the true values of the current step.
	slowdown    float64
	cpu         float64
	targetRatio float64
}

// advance simulates dt seconds of the attempt and reports whether it ended.
func (a *fakeAttempt) advance(now time.Duration, dt float64, faulty bool) (attemptEnd, bool) {
	ran := now - a.startedAt
	switch {
	case faulty && ran >= faultyAfter:
		return attemptEnd{a, hostapi.AttemptFailed, "device error"}, true
	case a.task.job.impossible && ran >= impossibleAfter:
		return attemptEnd{a, hostapi.AttemptFailed, "missing input"}, true
	case ran >= fullMemoryAfter && a.task.memory > memoryTolerance*float64(a.requests.MemoryMiB):
		return attemptEnd{a, hostapi.AttemptFailed, "out of memory"}, true
	}
	if a.task.job.service == nil && !a.checkpointing {
		a.progress = min(1, a.progress+dt*a.throttle/a.slowdown/a.task.soloSeconds)
	}
	if a.progress >= 1 {
		return attemptEnd{a, hostapi.AttemptCompleted, ""}, true
	}
	if now-a.checkpointAt >= checkpointInterval {
		a.checkpointProgress, a.checkpointAt = a.progress, now
	}
	if a.stopAt > 0 && now >= a.stopAt {
		if a.checkpointing {
			a.checkpointProgress = a.progress
		}
		return attemptEnd{a, hostapi.AttemptStopped, ""}, true
	}
	return attemptEnd{}, false
}
