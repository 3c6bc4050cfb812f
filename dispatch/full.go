package dispatch

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// demand is what decides, beside the size, whether a worker has room for a task.
type demand struct {
	service    string
	label      string
	bestEffort bool
	// image is that of best-effort steps; what it disturbs differs by image.
	image imageID
}

// fullFor holds the smallest request of each demand that found no worker in a
// planning round. With a long queue and no room, judging every worker for every
// waiting step would take all of the owner's processor time.
type fullFor map[demand]hostapi.Resources

func demandOf(c *candidate, step *workload.Step) demand {
	d := demand{service: c.entry.Policy.Service, label: step.Label, bestEffort: step.BestEffort}
	if step.BestEffort {
		d.image = c.image
	}
	return d
}

// covers tells that a request no larger than that of a step found no worker.
func (f fullFor) covers(c *candidate) bool {
	step := &c.entry.Steps[c.step]
	failed, ok := f[demandOf(c, step)]
	return ok && failed.Fits(step.Request)
}

// note takes a step that found no worker. Gangs and steps that are bound per
// worker say nothing about others.
func (f fullFor) note(c *candidate) {
	step := &c.entry.Steps[c.step]
	if step.Gang || step.MaxPerWorker > 0 {
		return
	}
	d := demandOf(c, step)
	if failed, ok := f[d]; !ok || step.Request.Fits(failed) {
		f[d] = step.Request
	}
}
