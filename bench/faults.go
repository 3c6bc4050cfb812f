package bench

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
)

// cancelShare is the probability with which a burst cancels a job.
const cancelShare = 0.6

// injectFaults applies the faults and operator actions of the scenario that are
// due in this tick.
func (sim *simulation) injectFaults() {
	sc := &sim.scenario
	switch {
	case sc.CancelAt > 0 && sim.now == sc.CancelAt:
		sim.cancelBurst()
	case sc.RackLostAt > 0 && sim.now == sc.RackLostAt:
		sim.failRack()
	case sc.TakeOutAt > 0 && sim.now == sc.TakeOutAt:
		sim.dataCentres[0] = scheduler.DataCentre{Phase: scheduler.Draining, Since: sim.now, Deadline: sim.now + drainTime}
	case sc.TakeOutAt > 0 && sim.now == sc.TakeOutAt+drainTime:
		sim.dataCentres[0] = scheduler.DataCentre{Phase: scheduler.OutOfService, Since: sim.now}
		sim.countLateDrain()
	case sc.BringBackAt > 0 && sim.now == sc.BringBackAt:
		sim.dataCentres[0] = scheduler.DataCentre{Phase: scheduler.Returning, Since: sim.now}
	case sc.BringBackAt > 0 && sim.now == sc.BringBackAt+2*time.Minute:
		sim.dataCentres[0] = scheduler.DataCentre{Phase: scheduler.InService, Since: sim.now}
	}
}

// failRack takes down the workers of one rack permanently. The owners observe it
// when the leases of the attempts expire.
func (sim *simulation) failRack() {
	rack := sim.workers[0].rack
	for _, f := range sim.workers {
		if f.rack != rack {
			continue
		}
		f.down = true
		c := sim.cell(scheduler.CellOf(sim.deployment.DataCentres[f.dc], f.id, sim.deployment.CellsPerDataCentre))
		for _, a := range slices.Clone(f.attempts) {
			f.attempts = f.attempts[1:]
			sim.handleEnd(c, f, attemptEnd{a, hostapi.AttemptLapsed, "lease expired"})
		}
	}
}

// countLateDrain counts the attempts that still run at the end of the drain time.
func (sim *simulation) countLateDrain() {
	for _, f := range sim.workers {
		if f.dc == 0 {
			sim.metrics.lateDrain += len(f.attempts)
		}
	}
}

// cancelBurst cancels most jobs in one tick.
func (sim *simulation) cancelBurst() {
	for _, j := range sim.jobs {
		j.cancelled = sim.loadRandom.Float64() < cancelShare
	}
	for _, c := range sim.cells {
		c.pending = slices.DeleteFunc(c.pending, func(t *fakeTask) bool { return t.job.cancelled })
		for _, j := range sim.jobs {
			if j.cancelled {
				c.decider.ForgetJob(j.id)
			}
		}
	}
}

// summarize publishes the cells' summaries.
func (sim *simulation) summarize() {
	list := make([]scheduler.CellSummary, 0, len(sim.cells))
	for _, c := range sim.cells {
		if len(c.workers) == 0 {
			continue
		}
		pending := make([]scheduler.Task, 0, len(c.pending))
		for _, t := range c.pending {
			pending = append(pending, t.schedulerTask())
		}
		list = append(list, scheduler.Summarize(sim.now, c.snapshot(sim), pending, scheduler.DefaultConfig().NearlyDone))
	}
	sim.summaries = list
}
