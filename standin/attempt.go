package standin

import (
	"math"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// attempt is the simulated run of one attempt.
type attempt struct {
	report hostapi.Attempt
	// work is the run time when alone and unthrottled; 0 runs until stopped.
	work time.Duration
	// failAt is the work after which the attempt fails; 0 stands for never.
	failAt time.Duration
	// done is the work done so far.
	done time.Duration
	// rate is the work done per unit of time at present.
	rate float64
	// slowdown is the time of a unit of work over its time when alone and
	// equally throttled.
	slowdown float64
	used     hostapi.Resources
	samples  []hostapi.Usage
}

func (a *attempt) running() bool {
	return a.report.State == hostapi.AttemptRunning
}

// target returns the work at which the attempt ends by itself, or 0.
func (a *attempt) target() time.Duration {
	if a.failAt > 0 && (a.work == 0 || a.failAt < a.work) {
		return a.failAt
	}
	return a.work
}

// endsAt returns when the attempt reaches its target if its rate stays the
// same. The result is after clock.
func (a *attempt) endsAt(clock time.Duration) time.Duration {
	target := a.target()
	if target == 0 || a.rate == 0 {
		return math.MaxInt64
	}
	wait := math.Ceil(float64(target-a.done) / a.rate)
	if wait > float64(math.MaxInt64-clock)/2 {
		return math.MaxInt64
	}
	return clock + max(time.Duration(wait), 1)
}

// run does the work of a period at the present rate.
func (a *attempt) run(period time.Duration) {
	a.done += time.Duration(math.Round(float64(period) * a.rate))
	if a.target() > 0 {
		a.done = min(a.done, a.target())
	}
	if a.work > 0 {
		a.report.Progress = float64(a.done) / float64(a.work)
	}
}

// fails reports whether reaching the target means failure.
func (a *attempt) fails() bool {
	return a.failAt > 0 && a.target() == a.failAt
}

// usageAt returns the newest sample taken at or before t and drops older ones.
func (a *attempt) usageAt(t time.Duration) (hostapi.Usage, bool) {
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
