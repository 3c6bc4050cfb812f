package workload

// TaskID identifies one task of a submission.
type TaskID struct {
	Submission string
	// Occurrence is the index of the occurrence, from 0; it is 0 for a submission
	// without a schedule.
	Occurrence int
	Step       int
	Index      int
}
