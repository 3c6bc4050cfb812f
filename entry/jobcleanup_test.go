package entry

import (
	"testing"

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
