package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

const (
	// reportLag is the age of a usage report when the owner gets it.
	reportLag = 3 * time.Second
	// reportEvery is the time between two reports of a worker.
	reportEvery = 2 * time.Second
	// reportNoise is the standard deviation of the log of a measured value.
	reportNoise = 0.08
	// faultyAfter and impossibleAfter are when attempts fail for these reasons.
	faultyAfter     = 2 * time.Second
	impossibleAfter = 5 * time.Second
	// memoryAfter is when an attempt reaches its full memory use.
	memoryAfter = 20 * time.Second
	// memorySlack is how far an attempt may exceed its assigned memory.
	memorySlack = 1.1
	// saveEvery is the time between the checkpoints that a task takes by itself.
	saveEvery = 60 * time.Second
)

// fakeWorker is a worker with its true state.
type fakeWorker struct {
	id       string
	dc       int
	rack     string
	boot     string
	capacity hostapi.Resources
	faulty   bool
	down     bool
	attempts []*fakeAttempt
	load     float64
	seenLoad float64
	reports  []usageReport
	nextRep  time.Duration
}

// assigned returns the sum of what the attempts were assigned.
func (w *fakeWorker) assigned() hostapi.Resources {
	var sum hostapi.Resources
	for _, a := range w.attempts {
		sum = sum.Add(a.requests)
	}
	return sum
}

// step advances the attempts by dt and returns those that ended with their
// state and message.
func (w *fakeWorker) step(now time.Duration, dt float64, t *truth, demand func(*fakeAttempt) float64, noisy float64) []ending {
	total := 0.0
	for _, a := range w.attempts {
		a.cpu = demand(a)
		total += a.cpu
	}
	load := total / float64(w.capacity.MilliCPU)
	w.load = min(load, 1)
	contention := max(load, 1)
	var ended []ending
	for _, a := range w.attempts {
		harm := 0.0
		for _, o := range w.attempts {
			if o == a || o.saving {
				continue
			}
			h := t.slowdown(a.task.job.kind, o.task.job.kind, o.throttle, w.load)
			if o.task.job.service == nil {
				h *= noisy
			}
			harm += h
		}
		a.slowdown = math.Exp(saturate(harm)) * contention
		if e, over := a.advance(now, dt, w.faulty); over {
			ended = append(ended, e)
		}
	}
	for _, e := range ended {
		w.attempts = slices.DeleteFunc(w.attempts, func(a *fakeAttempt) bool { return a == e.attempt })
	}
	return ended
}

// report measures the worker if a report is due and delivers the reports whose
// lag has passed.
func (w *fakeWorker) report(now time.Duration, random *rand.Rand) []usageReport {
	if now >= w.nextRep {
		w.nextRep = now + reportEvery
		w.reports = append(w.reports, w.measure(now, random))
	}
	ready := 0
	for ready < len(w.reports) && w.reports[ready].due <= now {
		ready++
	}
	delivered := w.reports[:ready]
	w.reports = w.reports[ready:]
	return delivered
}

// measure returns a noisy report of the present state.
func (w *fakeWorker) measure(now time.Duration, random *rand.Rand) usageReport {
	r := usageReport{due: now + reportLag, load: w.load, views: map[hostapi.AttemptID]view{}}
	noise := func() float64 { return math.Exp(reportNoise * random.NormFloat64()) }
	for _, a := range w.attempts {
		var beside []string
		for _, o := range w.attempts {
			if o != a {
				beside = append(beside, o.task.job.class.Kind)
			}
		}
		memory := a.task.memory * min(1, float64(now-a.startedAt)/float64(memoryAfter))
		used := hostapi.Resources{
			MilliCPU: int64(a.cpu * noise()), MemoryMiB: int64(memory), Accelerators: a.requests.Accelerators,
		}
		r.views[a.id] = view{used: used, progress: a.progress, savedAt: a.savedAt, ratio: a.ratio * noise(), throttle: a.throttle}
		r.usages = append(r.usages, hostapi.Usage{
			ID: a.id, MeasuredAt: now, Colocated: beside, Used: used, Slowdown: a.slowdown * noise(), Load: w.load,
		})
	}
	return r
}
