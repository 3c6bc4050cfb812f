package standin

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// advance simulates the worker up to now, event by event. An event is that an
// attempt reaches endWork or that its lease expires. Between two events all rates
// are constant, so the result does not depend on how often advance is called,
// except for rounding, and a lease expires exactly at its expiry time even if
// advance is called later.
func (w *Worker) advance(now time.Duration) {
	for w.clock < now {
		load := w.updateRates()
		next := w.nextEventTime(now)
		w.sampleUsage(w.clock, next, now, load)
		period := next - w.clock
		w.clock = next
		for _, a := range w.attempts {
			if a.running() {
				a.advance(period)
			}
		}
		w.endDueAttempts()
	}
}

// nextEventTime returns the time of the next event, or now if that is earlier.
func (w *Worker) nextEventTime(now time.Duration) time.Duration {
	next := now
	for _, a := range w.attempts {
		if a.running() {
			next = min(next, a.report.LeaseExpiry, a.projectedEnd(w.clock))
		}
	}
	return max(next, w.clock)
}

// endDueAttempts ends attempts that have reached endWork or whose lease has
// expired. If both happen at the same time, the expiry takes precedence, because
// the worker may not run the attempt any more at that time.
func (w *Worker) endDueAttempts() {
	for _, a := range w.attempts {
		if !a.running() {
			continue
		}
		endWork := a.endWork()
		switch {
		case a.report.LeaseExpiry <= w.clock:
			w.endAttempt(a, hostapi.AttemptLapsed, "lease ended")
		case endWork > 0 && a.workDone >= endWork && a.endsInFailure():
			w.endAttempt(a, hostapi.AttemptFailed, "task failed")
		case endWork > 0 && a.workDone >= endWork:
			w.endAttempt(a, hostapi.AttemptCompleted, "")
		}
	}
}

// updateRates computes the resource usage, slowdown and rate of every running
// attempt. It returns the processor load of the worker, from 0 to 1.
func (w *Worker) updateRates() float64 {
	demand := 0.0
	for _, a := range w.attempts {
		if !a.running() {
			continue
		}
		factor := w.config.TaskKinds.usageFactor(a.report.Kind)
		a.usage = hostapi.Resources{
			MilliCPU:     int64(float64(a.report.Requests.MilliCPU) * factor * a.report.Throttle),
			MemoryMiB:    int64(float64(a.report.Requests.MemoryMiB) * factor),
			Accelerators: a.report.Requests.Accelerators,
		}
		demand += float64(a.usage.MilliCPU)
	}
	demand /= max(float64(w.config.Capacity.MilliCPU), 1)
	load := min(demand, 1)
	for _, a := range w.attempts {
		if a.running() {
			a.slowdown = w.interferenceSlowdown(a.report.ID, a.report.Kind, load) * max(demand, 1)
			a.rate = a.report.Throttle / a.slowdown
		}
	}
	return load
}

// interferenceSlowdown returns the factor by which the other running attempts
// slow down an attempt of the given kind.
func (w *Worker) interferenceSlowdown(id hostapi.AttemptID, kind string, load float64) float64 {
	slowdown := 1.0
	for _, other := range w.attempts {
		if other.running() && other.report.ID != id {
			slowdown += w.config.TaskKinds.interferenceSlowdown(kind, other.report.Kind) * other.report.Throttle * load
		}
	}
	return slowdown
}

// ServiceSlowdown returns the highest slowdown of the running service replicas,
// which are the attempts without a run time. It returns 1 if there are none.
func (w *Worker) ServiceSlowdown(now time.Duration) float64 {
	w.advance(now)
	w.updateRates()
	highest := 1.0
	for _, a := range w.attempts {
		if a.running() && a.totalWork == 0 {
			highest = max(highest, a.slowdown)
		}
	}
	return highest
}

// sampleUsage measures all running attempts at the multiples of the usage
// interval in (from, to]. It skips samples that are too old for any report at or
// after now.
func (w *Worker) sampleUsage(from, to, now time.Duration, load float64) {
	interval := w.config.UsageInterval
	if interval <= 0 {
		return
	}
	from = max(from, now-w.config.UsageLag-2*interval)
	for at := (from/interval + 1) * interval; at <= to; at += interval {
		for _, a := range w.attempts {
			if a.running() {
				a.samples = append(a.samples, w.measureUsage(a, at, load))
			}
		}
	}
}

func (w *Worker) measureUsage(a *attempt, at time.Duration, load float64) hostapi.Usage {
	usage := hostapi.Usage{
		ID:         a.report.ID,
		MeasuredAt: at,
		Colocated:  []string{},
		Used:       a.usage,
		Slowdown:   a.slowdown,
		Load:       load,
	}
	for _, other := range w.attempts {
		if other != a && other.running() {
			usage.Colocated = append(usage.Colocated, other.report.Kind)
		}
	}
	return usage
}
