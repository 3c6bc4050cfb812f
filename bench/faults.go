package bench

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
)

// cancelShare is the share of the jobs that a burst cancels.
const cancelShare = 0.6

// faults applies what the scenario has in store for this moment.
func (w *world) faults() {
	sc := &w.scenario
	switch {
	case sc.CancelAt > 0 && w.now == sc.CancelAt:
		w.cancelBurst()
	case sc.RackLostAt > 0 && w.now == sc.RackLostAt:
		w.loseRack()
	case sc.OutAt > 0 && w.now == sc.OutAt:
		w.centres[0] = scheduler.DataCentre{Phase: scheduler.Draining, Since: w.now, Deadline: w.now + drainTime}
	case sc.OutAt > 0 && w.now == sc.OutAt+drainTime:
		w.centres[0] = scheduler.DataCentre{Phase: scheduler.OutOfService, Since: w.now}
		w.countLate()
	case sc.BackAt > 0 && w.now == sc.BackAt:
		w.centres[0] = scheduler.DataCentre{Phase: scheduler.Returning, Since: w.now}
	case sc.BackAt > 0 && w.now == sc.BackAt+2*time.Minute:
		w.centres[0] = scheduler.DataCentre{Phase: scheduler.InService, Since: w.now}
	}
}

// loseRack stops the workers of one rack. The owner learns of it when the
// leases of the attempts end.
func (w *world) loseRack() {
	rack := w.workers[0].rack
	for _, f := range w.workers {
		if f.rack != rack {
			continue
		}
		f.down = true
		c := w.cell(scheduler.CellOf(w.deployment.DataCentres[f.dc], f.id, w.deployment.Cells))
		for _, a := range slices.Clone(f.attempts) {
			f.attempts = f.attempts[1:]
			w.end(c, f, ending{a, hostapi.AttemptLapsed, "lease expired"})
		}
	}
}

// countLate counts the attempts that still run when the drain time is over.
func (w *world) countLate() {
	for _, f := range w.workers {
		if f.dc == 0 {
			w.metrics.lateDrain += len(f.attempts)
		}
	}
}

// cancelBurst cancels most jobs at once.
func (w *world) cancelBurst() {
	for _, j := range w.jobs {
		j.cancelled = w.load.Float64() < cancelShare
	}
	for _, c := range w.cells {
		c.pending = slices.DeleteFunc(c.pending, func(t *fakeTask) bool { return t.job.cancelled })
		for _, j := range w.jobs {
			if j.cancelled {
				c.decider.ForgetJob(j.id)
			}
		}
	}
}

// summarize publishes the cells' summaries.
func (w *world) summarize() {
	list := make([]scheduler.CellSummary, 0, len(w.cells))
	for _, c := range w.cells {
		if len(c.workers) == 0 {
			continue
		}
		pending := make([]scheduler.Task, 0, len(c.pending))
		for _, t := range c.pending {
			pending = append(pending, t.pending())
		}
		list = append(list, scheduler.Summarize(w.now, c.snapshot(w), pending))
	}
	w.summaries = list
}
