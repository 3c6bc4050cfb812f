package workload

// TaskID names one task of a submission.
type TaskID struct {
	Submission string
	// Occurrence counts from 0; it is 0 for a submission without a schedule.
	Occurrence int
	Step       int
	Index      int
}
