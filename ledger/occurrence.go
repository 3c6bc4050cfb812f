package ledger

import "github.com/cactusreel/cactusreel/workload"

// Occurrence is the durable state of one occurrence of a submission.
type Occurrence struct {
	Steps []Step
	// Unfinished is the number of steps that are not done.
	Unfinished int
}

// Done reports whether all steps are done.
func (o *Occurrence) Done() bool { return o.Unfinished == 0 }

// Ready reports whether all steps that a step depends on are done.
func (o *Occurrence) Ready(steps []workload.Step, step int) bool {
	for _, before := range steps[step].After {
		if !o.Steps[before].Done() {
			return false
		}
	}
	return true
}

// newOccurrence returns the state of an occurrence of which nothing has run. Of a guest,
// all tasks are away.
func newOccurrence(s *workload.Submission, number int, guest bool) *Occurrence {
	o := &Occurrence{Steps: make([]Step, len(s.Steps)), Unfinished: len(s.Steps)}
	for i, step := range s.Steps {
		tasks := make([]Task, step.Tasks)
		for k := range tasks {
			tasks[k].ID = workload.TaskID{Submission: s.ID, Occurrence: number, Step: i, Index: k}
			tasks[k].Away = guest
		}
		o.Steps[i] = Step{Tasks: tasks, Unfinished: step.Tasks}
		if guest {
			o.Steps[i].away = step.Tasks
		}
	}
	return o
}
