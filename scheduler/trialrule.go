package scheduler

// trialRule places only one task at a time of a job whose earlier versions never
// succeeded.
type trialRule struct{}

// Admit rejects a second task of a job on trial.
func (trialRule) Admit(r *Round, t *Task) string {
	if _, running := r.policy.learned.failures.Trial(r.Now, t.Job); running {
		return "one task of the job runs on trial, because earlier versions always failed"
	}
	return ""
}

// Reserve records the placement of a task on trial.
func (trialRule) Reserve(r *Round, t *Task, _ *Candidate) {
	if trial, _ := r.policy.learned.failures.Trial(r.Now, t.Job); trial {
		r.policy.learned.failures.TrialPlaced(r.Now, t.Job)
	}
}
