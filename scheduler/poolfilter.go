package scheduler

// poolFilter restricts tasks to the workers of their pool.
type poolFilter struct{}

// Reject rejects workers outside the task's pool.
func (poolFilter) Reject(_ *Round, t *Task, c *Candidate) string {
	if t.Workers == nil || t.Workers[c.Worker.ID] {
		return ""
	}
	return "of the task's pool has free capacity"
}
