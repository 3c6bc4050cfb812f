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
	// reportInterval is the time between two reports of a worker.
	reportInterval = 2 * time.Second
	// reportNoise is the standard deviation of the log of a measured value.
	reportNoise = 0.08
	// faultyAfter and impossibleAfter are the run times after which attempts at
	// faulty workers and attempts of impossible jobs fail.
	faultyAfter     = 2 * time.Second
	impossibleAfter = 5 * time.Second
	// fullMemoryAfter is the run time after which an attempt uses its full
	// memory.
	fullMemoryAfter = 20 * time.Second
	// memoryTolerance is the ratio of used to assigned memory above which an
	// attempt fails.
	memoryTolerance = 1.1
	// checkpointInterval is the time between the periodic checkpoints of a task.
	checkpointInterval = 60 * time.Second
)

// fakeWorker simulates a worker and its running attempts.
type fakeWorker struct {
	id           string
	dc           int
	rack         string
	boot         string
	capacity     hostapi.Resources
	faulty       bool
	down         bool
	attempts     []*fakeAttempt
	load         float64
	reportedLoad float64
	reports      []usageReport
	nextReport   time.Duration
}

// assigned returns the sum of the requests of the running attempts.
func (w *fakeWorker) assigned() hostapi.Resources {
	var sum hostapi.Resources
	for _, a := range w.attempts {
		sum = sum.Add(a.requests)
	}
	return sum
}

// step advances the attempts by dt seconds and returns those that ended.
func (w *fakeWorker) step(now time.Duration, dt float64, model *interferenceModel, demand func(*fakeAttempt) float64, batchFactor float64) []attemptEnd {
	total := 0.0
	for _, a := range w.attempts {
		a.cpu = demand(a)
		total += a.cpu
	}
	load := total / float64(w.capacity.MilliCPU)
	w.load = min(load, 1)
	contention := max(load, 1)
	var ended []attemptEnd
	for _, a := range w.attempts {
		logSlowdown := 0.0
		for _, o := range w.attempts {
			if o == a || o.checkpointing {
				continue
			}
			pairSlowdown := model.logSlowdown(a.task.job.kindIndex, o.task.job.kindIndex, o.throttle, w.load)
			if o.task.job.service == nil {
				pairSlowdown *= batchFactor
			}
			logSlowdown += pairSlowdown
		}
		a.slowdown = math.Exp(saturate(logSlowdown)) * contention
		if e, over := a.advance(now, dt, w.faulty); over {
			ended = append(ended, e)
		}
	}
	for _, e := range ended {
		w.attempts = slices.DeleteFunc(w.attempts, func(a *fakeAttempt) bool { return a == e.attempt })
	}
	return ended
}

// dueReports measures the worker if a report is due, and returns the reports
// whose delivery delay has passed.
func (w *fakeWorker) dueReports(now time.Duration, random *rand.Rand) []usageReport {
	if now >= w.nextReport {
		w.nextReport = now + reportInterval
		w.reports = append(w.reports, w.measure(now, random))
	}
	ready := 0
	for ready < len(w.reports) && w.reports[ready].deliverAt <= now {
		ready++
	}
	delivered := w.reports[:ready]
	w.reports = w.reports[ready:]
	return delivered
}

// measure returns a report of the current state with random measurement error.
func (w *fakeWorker) measure(now time.Duration, random *rand.Rand) usageReport {
	r := usageReport{deliverAt: now + reportLag, load: w.load, attempts: map[hostapi.AttemptID]attemptReport{}}
	noise := func() float64 { return math.Exp(reportNoise * random.NormFloat64()) }
	for _, a := range w.attempts {
		var colocated []string
		for _, o := range w.attempts {
			if o != a {
				colocated = append(colocated, o.task.job.class.Kind)
			}
		}
		memory := a.task.memory * min(1, float64(now-a.startedAt)/float64(fullMemoryAfter))
		used := hostapi.Resources{
			MilliCPU: int64(a.cpu * noise()), MemoryMiB: int64(memory), Accelerators: a.requests.Accelerators,
		}
		r.attempts[a.id] = attemptReport{used: used, progress: a.progress, checkpointAt: a.checkpointAt, targetRatio: a.targetRatio * noise(), throttle: a.throttle}
		r.usages = append(r.usages, hostapi.Usage{
			ID: a.id, MeasuredAt: now, Colocated: colocated, Used: used, Slowdown: a.slowdown * noise(), Load: w.load,
		})
	}
	return r
}
