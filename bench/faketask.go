package bench

import (
	"time"

	"github.com/cactusreel/cactusreel/scheduler"
)

// fakeTask is a task with its true sizes and run time.
type fakeTask struct {
	id       string
	job      *fakeJob
	attempts int64
	// cpu is in thousandths of a core and memory in MiB. soloSeconds is the run
	// time without interference.
	cpu, memory float64
	soloSeconds float64
	// submittedAt is when the cell read the record of the submission.
	submittedAt time.Duration
	progress    float64
	started     bool
	done        bool
	givenUp     bool
}

// schedulerTask returns the pending task with its declared values, as the policy
// gets it.
func (t *fakeTask) schedulerTask() scheduler.Task {
	p := scheduler.Task{
		ID: t.id, Job: t.job.id, Team: t.job.team, Kind: t.job.class.Kind, Urgent: t.job.class.Urgent,
		Service: t.job.service != nil, Requests: t.job.declared, RunTime: t.job.runTime,
		PendingSince: t.submittedAt, Attempt: t.attempts + 1, Progress: t.progress,
	}
	if t.progress > 0 {
		p.Checkpoint = "saved"
	}
	return p
}
