package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/resources"
)

// Guards against a difference between declared work that is derived from
// changes and that derived from the whole view: after a put, a change, a
// deletion, the creation of another job with the same name, and more changes
// than the store keeps.
func TestDeclaredWorkFromChanges(t *testing.T) {
	is := is.New(t)
	store := resources.New(resources.Limits{Events: 8})
	var fromChanges *declaredWork
	apply := func(op resources.Operation) {
		_, err := store.Apply(store.View().Offset()+1, op)
		is.NoErr(err)
	}
	put := func(r api.Resource) {
		op, err := resources.NewPut("", r, resources.Precondition{})
		is.NoErr(err)
		apply(op)
	}
	job := func(name string, tasks int) api.Resource {
		return api.Resource{Meta: api.Meta{Kind: api.KindJob, Name: name}, Job: &api.JobSpec{Team: "a", Tasks: tasks, Priority: api.PriorityUrgent}}
	}
	check := func() {
		fromChanges = newDeclaredWork(store.View(), benchDC, time.Minute, fromChanges)
		is.Equal(fromChanges.jobs, newDeclaredWork(store.View(), benchDC, time.Minute, nil).jobs)
	}
	put(job("one", 1))
	put(api.Resource{Meta: api.Meta{Kind: api.KindService, Name: "web"}, Service: &api.ServiceSpec{Team: "a", Replicas: 2}})
	check()
	put(job("one", 3))
	put(api.Resource{Meta: api.Meta{Kind: api.KindTeam, Name: "a"}, Team: &api.TeamSpec{}})
	check()
	apply(resources.Operation{Verb: resources.VerbCancel, Kind: api.KindJob, Name: "one"})
	check()
	apply(resources.Operation{Verb: resources.VerbDelete, Kind: api.KindJob, Name: "one"})
	put(job("one", 2))
	check()
	is.Equal(len(fromChanges.jobs), 2)
	for i := range 20 {
		put(job(fmt.Sprint("many-", i), 1))
	}
	check()
	is.Equal(len(fromChanges.jobs), 22)
}
