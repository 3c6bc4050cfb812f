package standin

import (
	"math"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// attempt is the simulated execution of one attempt.
type attempt struct {
	report hostapi.Attempt
	// totalWork is the run time without interference and throttling; 0 means
	// that the attempt runs until it is stopped.
	totalWork time.Duration
	// failAtWork is the work after which the attempt fails; 0 means never.
	failAtWork time.Duration
	workDone   time.Duration
	// rate is the work currently done per unit of time.
	rate float64
	// slowdown is the time per unit of work, relative to the time that it takes
	// without interference and with the same throttling.
	slowdown float64
	usage    hostapi.Resources
	samples  []hostapi.Usage
}

func (a *attempt) running() bool {
	return a.report.State == hostapi.AttemptRunning
}

// endWork returns the work at which the attempt completes or fails, or 0 if it
// runs until it is stopped.
func (a *attempt) endWork() time.Duration {
	if a.failAtWork > 0 && (a.totalWork == 0 || a.failAtWork < a.totalWork) {
		return a.failAtWork
	}
	return a.totalWork
}

// projectedEnd returns the time at which the attempt reaches endWork at its
// current rate. The result is always after clock.
func (a *attempt) projectedEnd(clock time.Duration) time.Duration {
	endWork := a.endWork()
	if endWork == 0 || a.rate == 0 {
		return math.MaxInt64
	}
	remaining := math.Ceil(float64(endWork-a.workDone) / a.rate)
	if remaining > float64(math.MaxInt64-clock)/2 {
		return math.MaxInt64
	}
	return clock + max(time.Duration(remaining), 1)
}

// advance adds the work done in a period at the current rate.
func (a *attempt) advance(period time.Duration) {
	a.workDone += time.Duration(math.Round(float64(period) * a.rate))
	if a.endWork() > 0 {
		a.workDone = min(a.workDone, a.endWork())
	}
	if a.totalWork > 0 {
		a.report.Progress = float64(a.workDone) / float64(a.totalWork)
	}
}

// endsInFailure reports whether the attempt fails when it reaches endWork.
func (a *attempt) endsInFailure() bool {
	return a.failAtWork > 0 && a.endWork() == a.failAtWork
}

// latestUsage returns the newest sample taken at or before t and discards older
// ones.
func (a *attempt) latestUsage(t time.Duration) (hostapi.Usage, bool) {
	newest := -1
	for i, s := range a.samples {
		if s.MeasuredAt <= t {
			newest = i
		}
	}
	if newest < 0 {
		return hostapi.Usage{}, false
	}
	a.samples = a.samples[newest:]
	return a.samples[0], true
}
