package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/result"
)

// Guards against a job that is accepted although it can never start, and against
// the refusal of work that can start task by task.
func TestQuotaRefusesOnlyWhatNeverFits(t *testing.T) {
	is := is.New(t)
	store := resources.New(resources.Limits{})
	put := func(r api.Resource) resources.Operation {
		op, err := resources.NewPut(r.Name, r, resources.Precondition{})
		is.NoErr(err)
		return op
	}
	quota := hostapi.Resources{MilliCPU: 2000, MemoryMiB: 100}
	_, err := store.Apply(1, put(api.Resource{Meta: api.Meta{Kind: api.KindTeam, Name: "t"}, Team: &api.TeamSpec{Quota: quota}}))
	is.NoErr(err)
	job := func(milliCPU int64) resources.Operation {
		request := hostapi.Resources{MilliCPU: milliCPU, MemoryMiB: 10}
		return put(api.Resource{Meta: api.Meta{Kind: api.KindJob, Name: "j"}, Job: &api.JobSpec{Team: "t", Tasks: 100, Requests: request}})
	}
	is.NoErr(checkQuota(store.View(), job(2000)))
	is.Equal(result.CodeOf(checkQuota(store.View(), job(2001)), result.OK), result.QuotaRefused)
}
