package ledger

// Step is the durable state of the tasks of one step of one occurrence.
type Step struct {
	Tasks []Task
	// Unfinished is the number of tasks that are not done.
	Unfinished int
}

// Done reports whether all tasks are done.
func (s *Step) Done() bool { return s.Unfinished == 0 }
