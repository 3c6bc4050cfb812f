package bench

import (
	"math"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
)

const (
	// latencySpread is the standard deviation of the log of a request's latency.
	latencySpread = 0.35
	// aloneRatio is the p99 of a replica alone on a worker over its target.
	aloneRatio = 0.5
	// p99Deviations is the 99th percentile of the normal distribution.
	p99Deviations = 2.326
	// samplesPerTick is how many requests are measured for each replica.
	samplesPerTick = 4
	// observeDelay is the time until the owner learns of an end.
	observeDelay = tick
	// leaseTime is the time until the attempts of a lost worker have ended.
	leaseTime = 10 * time.Second
	// unserved is the ratio recorded for a request without any replica.
	unserved = 20
	// evictDelay is the time until an eviction takes effect at the worker.
	// Delays are whole ticks, because the fake acts once a tick.
	evictDelay = tick
)

// demand returns the processors that an attempt uses now.
func (w *world) demand(a *fakeAttempt) float64 {
	j := a.task.job
	if a.saving {
		return 0.2 * a.task.cpu
	}
	if j.service == nil {
		return a.task.cpu * a.throttle
	}
	missing := float64(j.service.Replicas) / float64(max(j.running, 1))
	return a.task.cpu * w.wave() * min(missing, 2)
}

// stepWorker advances a worker and tells the owner of ends and reports.
func (w *world) stepWorker(f *fakeWorker) {
	c := w.cell(scheduler.CellOf(w.deployment.DataCentres[f.dc], f.id, w.deployment.Cells))
	before := progressOf(f)
	ended := f.step(w.now, tick.Seconds(), w.truth, w.demand, w.noisy())
	w.countWork(f, before, ended)
	for _, e := range ended {
		w.end(c, f, e)
	}
	if !f.assigned().Fits(f.capacity) {
		w.metrics.overcommit++
	}
	if f.down {
		return
	}
	for _, r := range f.report(w.now, w.noise) {
		f.seenLoad = r.load
		worker := c.worker(f)
		for _, a := range c.placed[f.id] {
			if v, ok := r.views[a.id]; ok {
				a.seen = v
			}
		}
		c.decider.ObserveUsage(w.now, &worker, r.usages)
	}
}

// progressOf returns the core seconds of progress at a worker.
func progressOf(f *fakeWorker) float64 {
	sum := 0.0
	for _, a := range f.attempts {
		sum += a.progress * a.task.work * a.task.cpu / 1000
	}
	return sum
}

// countWork adds the work of one step.
func (w *world) countWork(f *fakeWorker, before float64, ended []ending) {
	done := progressOf(f) - before
	for _, e := range ended {
		done += e.attempt.progress * e.attempt.task.work * e.attempt.task.cpu / 1000
	}
	w.addWork(done)
}

// addWork counts work done, or lost if it is negative.
func (w *world) addWork(done float64) {
	w.metrics.work += done
	if w.scenario.OutAt > 0 && w.now >= w.scenario.OutAt && w.now < w.scenario.BackAt+2*time.Minute {
		w.metrics.change += done
	}
}

// end handles the end of an attempt.
func (w *world) end(c *cell, f *fakeWorker, e ending) {
	a, t := e.attempt, e.attempt.task
	if t.job.service != nil {
		t.job.running--
	}
	if e.state != hostapi.AttemptCompleted {
		lost := (a.progress - a.checkpoint) * t.work * t.cpu / 1000
		w.addWork(-lost)
		if e.state == hostapi.AttemptStopped && a.kind != scheduler.Stop {
			w.metrics.lost += lost
		}
		t.progress = a.checkpoint
	}
	o := scheduler.Outcome{
		ID: a.id, Job: t.job.id, Kind: t.job.class.Kind, Worker: f.id, Boot: f.boot, State: e.state,
		Requests: a.requests, Used: a.seen.used, RanFor: w.now - a.startedAt, Message: e.message,
	}
	switch e.state {
	case hostapi.AttemptCompleted:
		o.TaskRunTime = time.Duration(t.work * float64(time.Second))
		t.done = true
		w.metrics.completed++
	case hostapi.AttemptFailed:
		w.metrics.failures++
	}
	if a.kind == scheduler.Stop && w.scenario.CancelAt > 0 && a.stopAt > 0 {
		w.metrics.freed = max(w.metrics.freed, w.now-w.scenario.CancelAt)
	}
	delay := observeDelay
	if e.state == hostapi.AttemptLapsed {
		delay = leaseTime
	}
	w.after(delay, func() {
		c.forget(f.id, a.id)
		c.decider.ObserveOutcome(w.now, o)
		if !t.done && !t.job.cancelled {
			w.requeue(c, a)
		}
	})
}

// requeue makes an interrupted task pending in its cell or the one it moves to.
func (w *world) requeue(c *cell, a *fakeAttempt) {
	if a.moveTo != nil {
		c = w.cell(*a.moveTo)
	}
	c.pending = append(c.pending, a.task)
}

// sampleServices records latencies and the p99 of each replica.
func (w *world) sampleServices() {
	median := aloneRatio / math.Exp(p99Deviations*latencySpread)
	for _, f := range w.workers {
		for _, a := range f.attempts {
			if a.task.job.service == nil {
				continue
			}
			factor := a.slowdown * queueing(f.load)
			a.ratio = aloneRatio * factor
			for range samplesPerTick {
				w.metrics.recordLatency(a.task.job.kind, median*factor*math.Exp(latencySpread*w.noise.NormFloat64()))
			}
		}
	}
	for i, j := range w.services {
		if j.running == 0 && w.now > 10*time.Second {
			for range samplesPerTick * j.service.Replicas {
				w.metrics.recordLatency(i, unserved)
			}
		}
	}
}
