package workload

import "fmt"

// TaskID identifies one task of a submission.
type TaskID struct {
	Submission string
	// Occurrence is the index of the occurrence, from 0; it is 0 for a submission
	// without a schedule.
	Occurrence int
	Step       int
	Index      int
}

// Name returns the text form of the id: submission.occurrence.step.index.
func (id TaskID) Name() string {
	return fmt.Sprintf("%s.%d.%d.%d", id.Submission, id.Occurrence, id.Step, id.Index)
}
