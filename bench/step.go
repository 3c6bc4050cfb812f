package bench

import (
	"math"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
)

const (
	// latencySpread is the standard deviation of the logarithm of a request's
	// latency.
	latencySpread = 0.35
	// aloneRatio is the ratio of the p99 latency of a replica without colocated
	// tasks to its target.
	aloneRatio = 0.5
	// p99Deviations is the 99th percentile of the standard normal distribution.
	p99Deviations = 2.326
	// samplesPerTick is the number of measured requests per replica and tick.
	samplesPerTick = 4
	// observeDelay is the time until the owner observes the end of an attempt.
	observeDelay = tick
	// leaseTime is the time until the leases of the attempts at a lost worker
	// have expired.
	leaseTime = 10 * time.Second
	// unservedRatio is the latency ratio recorded for a request to a service
	// that has no running replica.
	unservedRatio = 20
	// evictDelay is the time until an eviction takes effect at the worker.
	// Delays are whole ticks, because the simulation advances in ticks.
	evictDelay = tick
)

// cpuDemand returns the current processor demand of an attempt in thousandths of
// a core.
func (sim *simulation) cpuDemand(a *fakeAttempt) float64 {
	j := a.task.job
	if a.checkpointing {
		return 0.2 * a.task.cpu
	}
	if j.service == nil {
		return a.task.cpu * a.throttle
	}
	loadFactor := float64(j.service.Replicas) / float64(max(j.running, 1))
	return a.task.cpu * sim.serviceLoadFactor() * min(loadFactor, 2)
}

// stepWorker advances a worker by one tick and delivers ended attempts and due
// reports to the owner.
func (sim *simulation) stepWorker(f *fakeWorker) {
	c := sim.cell(scheduler.CellOf(sim.deployment.DataCentres[f.dc], f.id, sim.deployment.CellsPerDataCentre))
	before := completedWork(f)
	ended := f.step(sim.now, tick.Seconds(), sim.interference, sim.cpuDemand, sim.batchInterferenceFactor())
	sim.countWork(f, before, ended)
	for _, e := range ended {
		sim.handleEnd(c, f, e)
	}
	if !f.assigned().Fits(f.capacity) {
		sim.metrics.overcommit++
	}
	if f.down {
		return
	}
	for _, r := range f.dueReports(sim.now, sim.noiseRandom) {
		f.reportedLoad = r.load
		worker := c.worker(f)
		for _, a := range c.placed[f.id] {
			if v, ok := r.attempts[a.id]; ok {
				a.reported = v
			}
		}
		c.decider.ObserveUsage(sim.now, &worker, r.usages)
	}
}

// completedWork returns the progress of the attempts at a worker in core seconds.
func completedWork(f *fakeWorker) float64 {
	sum := 0.0
	for _, a := range f.attempts {
		sum += a.progress * a.task.soloSeconds * a.task.cpu / 1000
	}
	return sum
}

// countWork adds the work that a worker did in one step.
func (sim *simulation) countWork(f *fakeWorker, before float64, ended []attemptEnd) {
	done := completedWork(f) - before
	for _, e := range ended {
		done += e.attempt.progress * e.attempt.task.soloSeconds * e.attempt.task.cpu / 1000
	}
	sim.addWork(done)
}

// addWork adds core seconds to the completed work; a negative value is lost work.
func (sim *simulation) addWork(done float64) {
	sim.metrics.work += done
	if sim.scenario.TakeOutAt > 0 && sim.now >= sim.scenario.TakeOutAt && sim.now < sim.scenario.BringBackAt+2*time.Minute {
		sim.metrics.changeWork += done
	}
}

// handleEnd updates the metrics for an ended attempt, and delivers the outcome to
// the owner after a delay.
func (sim *simulation) handleEnd(c *cell, f *fakeWorker, e attemptEnd) {
	a, t := e.attempt, e.attempt.task
	if t.job.service != nil {
		t.job.running--
	}
	if e.state != hostapi.AttemptCompleted {
		lost := (a.progress - a.checkpointProgress) * t.soloSeconds * t.cpu / 1000
		sim.addWork(-lost)
		if e.state == hostapi.AttemptStopped && a.lastAction != scheduler.Stop {
			sim.metrics.lostWork += lost
		}
		t.progress = a.checkpointProgress
	}
	o := scheduler.Outcome{
		ID: a.id, Job: t.job.id, Kind: t.job.class.Kind, Worker: f.id, Boot: f.boot, State: e.state,
		Requests: a.requests, Used: a.reported.used, RanFor: sim.now - a.startedAt, Message: e.message,
	}
	switch e.state {
	case hostapi.AttemptCompleted:
		o.TaskRunTime = time.Duration(t.soloSeconds * float64(time.Second))
		t.done = true
		sim.metrics.completed++
	case hostapi.AttemptFailed:
		sim.metrics.failures++
	}
	if a.lastAction == scheduler.Stop && sim.scenario.CancelAt > 0 && a.stopAt > 0 {
		sim.metrics.releaseDelay = max(sim.metrics.releaseDelay, sim.now-sim.scenario.CancelAt)
	}
	delay := observeDelay
	if e.state == hostapi.AttemptLapsed {
		delay = leaseTime
	}
	sim.schedule(delay, func() {
		c.removeAttempt(f.id, a.id)
		c.decider.ObserveOutcome(sim.now, o)
		if !t.done && !t.job.cancelled {
			sim.requeue(c, a)
		}
	})
}

// requeue makes an interrupted task pending in its cell, or in the cell to which
// it moves.
func (sim *simulation) requeue(c *cell, a *fakeAttempt) {
	if a.moveTo != nil {
		c = sim.cell(*a.moveTo)
	}
	c.pending = append(c.pending, a.task)
}

// sampleServices records sampled request latencies and updates the p99 ratio of
// each replica.
func (sim *simulation) sampleServices() {
	median := aloneRatio / math.Exp(p99Deviations*latencySpread)
	for _, f := range sim.workers {
		for _, a := range f.attempts {
			if a.task.job.service == nil {
				continue
			}
			factor := a.slowdown * queueingFactor(f.load)
			a.targetRatio = aloneRatio * factor
			for range samplesPerTick {
				sim.metrics.recordLatency(a.task.job.kindIndex, median*factor*math.Exp(latencySpread*sim.noiseRandom.NormFloat64()))
			}
		}
	}
	for i, j := range sim.services {
		if j.running == 0 && sim.now > 10*time.Second {
			for range samplesPerTick * j.service.Replicas {
				sim.metrics.recordLatency(i, unservedRatio)
			}
		}
	}
}
