package ledger

// Step is the durable state of the tasks of one step of one occurrence.
type Step struct {
	Tasks []Task
	// Unfinished is the number of tasks that are not done.
	Unfinished int
	// away is the number of tasks that another cell has.
	away int
}

// Local returns the number of tasks that are not done and that this cell has.
func (s *Step) Local() int { return s.Unfinished - s.away }

// setAway changes whether another cell has a task of the step. Only tasks that are not
// done are transferred.
func (s *Step) setAway(t *Task, away bool) {
	switch {
	case away && !t.Away:
		s.away++
	case !away && t.Away:
		s.away--
	}
	t.Away = away
}

// Done reports whether all tasks are done.
func (s *Step) Done() bool { return s.Unfinished == 0 }
