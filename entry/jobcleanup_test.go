package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
)

// Guards against deleting a job that still has tasks to run, or whose tasks may
// be in a cell that did not answer.
func TestOnlyFinishedJobsAreDeleted(t *testing.T) {
	is := is.New(t)
	job := api.Resource{Job: &api.JobSpec{Tasks: 3}}
	cancelled := api.Resource{Job: &api.JobSpec{Tasks: 3, Cancelled: true}}
	is.True(jobFinished(job, api.Status{Completed: 2, Failed: 1}))
	is.True(jobFinished(cancelled, api.Status{Completed: 1}))
	is.True(!jobFinished(job, api.Status{Completed: 2}))
	is.True(!jobFinished(job, api.Status{Completed: 2, Pending: 1}))
	is.True(!jobFinished(cancelled, api.Status{Running: 1}))
	is.True(!jobFinished(job, api.Status{Completed: 3, UnknownCells: 1}))
}

// Guards against a job that is kept for the whole retention again after its deletion failed.
func TestFailedDeletionIsRetriedAtOnce(t *testing.T) {
	is := is.New(t)
	c := newJobCleanup(nil)
	job := jobVersion{"import", 7}
	is.True(!c.due(job, time.Minute, time.Hour))
	is.True(!c.due(job, 30*time.Minute, time.Hour))
	is.True(c.due(job, 61*time.Minute, time.Hour))
	is.True(c.due(job, 62*time.Minute, time.Hour)) // the deletion failed
	c.deleted(job)
	is.True(!c.due(job, 63*time.Minute, time.Hour))
}
