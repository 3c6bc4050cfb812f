package dispatch

import (
	"fmt"

	"github.com/cactusreel/cactusreel/workload"
)

// Demand is a number of waiting tasks of a step, for which another cell is asked.
type Demand struct {
	Submission string
	Occurrence int
	StepIndex  int
	// Tasks is the number of tasks that wait.
	Tasks    int
	Service  string
	Priority int
	Step     *workload.Step
}

// demandOf returns the demand for tasks of a waiting step.
func demandOf(ws *waitingStep, tasks int) Demand {
	return Demand{
		Submission: ws.entry.ID, Occurrence: ws.occurrence, StepIndex: ws.stepIndex, Tasks: tasks,
		Service: ws.entry.Policy.Service, Priority: ws.priority, Step: &ws.entry.Steps[ws.stepIndex],
	}
}

// Validate returns an error that wraps workload.ErrInvalid if a number is out of range.
func (d *Demand) Validate() error {
	q := d.Step.Request
	switch {
	case d.StepIndex < 0 || d.StepIndex >= workload.MaxSteps:
		return fmt.Errorf("%w: step %d", workload.ErrInvalid, d.StepIndex)
	case d.Tasks < 0 || d.Tasks > workload.MaxTasks:
		return fmt.Errorf("%w: %d tasks", workload.ErrInvalid, d.Tasks)
	case q.MilliCPU < 0 || q.MemoryMiB < 0 || q.Accelerators < 0:
		return fmt.Errorf("%w: negative request %+v", workload.ErrInvalid, q)
	}
	return nil
}
