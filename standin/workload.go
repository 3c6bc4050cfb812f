package standin

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// advance brings the state up to now. Between two events (an attempt reaches
// its target, or its lease ends) all rates are constant, so but for rounding the
// result does not depend on how often advance is called, and a lease that ended
// during a pause ends at its own time.
func (w *Worker) advance(now time.Duration) {
	for w.clock < now {
		load := w.setRates()
		next := w.nextEvent(now)
		w.sample(w.clock, next, now, load)
		period := next - w.clock
		w.clock = next
		for _, a := range w.attempts {
			if a.running() {
				a.run(period)
			}
		}
		w.endDue()
	}
}

// nextEvent returns the time of the next event, at most now.
func (w *Worker) nextEvent(now time.Duration) time.Duration {
	next := now
	for _, a := range w.attempts {
		if a.running() {
			next = min(next, a.report.LeaseExpiry, a.endsAt(w.clock))
		}
	}
	return max(next, w.clock)
}

// endDue ends attempts that are due. A lease that ends at the very moment of
// the completion comes first: the worker may not run the attempt any more.
func (w *Worker) endDue() {
	for _, a := range w.attempts {
		if !a.running() {
			continue
		}
		target := a.target()
		switch {
		case a.report.LeaseExpiry <= w.clock:
			w.end(a, hostapi.AttemptLapsed, "lease ended")
		case target > 0 && a.done >= target && a.fails():
			w.end(a, hostapi.AttemptFailed, "task failed")
		case target > 0 && a.done >= target:
			w.end(a, hostapi.AttemptCompleted, "")
		}
	}
}

// setRates computes the use and the rate of every running attempt, and returns
// the load.
func (w *Worker) setRates() float64 {
	demand := 0.0
	for _, a := range w.attempts {
		if !a.running() {
			continue
		}
		factor := w.config.TaskKinds.usageFactor(a.report.Kind)
		a.used = hostapi.Resources{
			MilliCPU:     int64(float64(a.report.Requests.MilliCPU) * factor * a.report.Throttle),
			MemoryMiB:    int64(float64(a.report.Requests.MemoryMiB) * factor),
			Accelerators: a.report.Requests.Accelerators,
		}
		demand += float64(a.used.MilliCPU)
	}
	demand /= max(float64(w.config.Capacity.MilliCPU), 1)
	load := min(demand, 1)
	for _, a := range w.attempts {
		if a.running() {
			a.slowdown = w.slowdownOf(a.report.ID, a.report.Kind, load) * max(demand, 1)
			a.rate = a.report.Throttle / a.slowdown
		}
	}
	return load
}

// slowdownOf returns how much the neighbours slow down a task of a kind.
func (w *Worker) slowdownOf(id hostapi.AttemptID, kind string, load float64) float64 {
	slowdown := 1.0
	for _, other := range w.attempts {
		if other.running() && other.report.ID != id {
			slowdown += w.config.TaskKinds.slowdown(kind, other.report.Kind) * other.report.Throttle * load
		}
	}
	return slowdown
}

// ServiceSlowdown returns the highest slowdown of the running attempts without
// an end, which are the service replicas, or 1 without any.
func (w *Worker) ServiceSlowdown(now time.Duration) float64 {
	w.advance(now)
	w.setRates()
	highest := 1.0
	for _, a := range w.attempts {
		if a.running() && a.work == 0 {
			highest = max(highest, a.slowdown)
		}
	}
	return highest
}

// sample measures all running attempts at the multiples of the usage interval
// in (from, to]. It skips samples that no report up to now can need.
func (w *Worker) sample(from, to, now time.Duration, load float64) {
	interval := w.config.UsageInterval
	if interval <= 0 {
		return
	}
	from = max(from, now-w.config.UsageLag-2*interval)
	for at := (from/interval + 1) * interval; at <= to; at += interval {
		for _, a := range w.attempts {
			if a.running() {
				a.samples = append(a.samples, w.measure(a, at, load))
			}
		}
	}
}

func (w *Worker) measure(a *attempt, at time.Duration, load float64) hostapi.Usage {
	usage := hostapi.Usage{
		ID:         a.report.ID,
		MeasuredAt: at,
		Colocated:  []string{},
		Used:       a.used,
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
