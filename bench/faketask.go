package bench

import (
	"time"

	"github.com/cactusreel/cactusreel/scheduler"
)

// fakeTask is a task with its true properties.
type fakeTask struct {
	id       string
	job      *fakeJob
	attempts int64
	// cpu is in thousandths of a core, memory in MiB, work in seconds alone.
	cpu, memory float64
	work        float64
	// since is when the record was read, pendingSince the last time it became pending.
	since    time.Duration
	progress float64
	started  bool
	done     bool
	given    bool
}

// pending returns the task as the scheduler sees it.
func (t *fakeTask) pending() scheduler.Task {
	p := scheduler.Task{
		ID: t.id, Job: t.job.id, Team: t.job.team, Kind: t.job.class.Kind, Urgent: t.job.class.Urgent,
		Service: t.job.service != nil, Requests: t.job.declared, RunTime: t.job.runTime,
		PendingSince: t.since, Attempt: t.attempts + 1, Progress: t.progress,
	}
	if t.progress > 0 {
		p.Checkpoint = "saved"
	}
	return p
}
