package resources_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/result"
)

func putOperation(id string, r api.Resource, p resources.Precondition) resources.Operation {
	op, err := resources.NewPut(id, r, p)
	if err != nil {
		panic(err)
	}
	return op
}

func dataCentre(name string, inService bool, cells int) api.Resource {
	return api.Resource{
		Meta:       api.Meta{Kind: api.KindDataCentre, Name: name},
		DataCentre: &api.DataCentreSpec{InService: inService, Cells: cells, DrainSeconds: 120},
	}
}

func job(name string, tasks int) api.Resource {
	return api.Resource{Meta: api.Meta{Kind: api.KindJob, Name: name}, Job: &api.JobSpec{Tasks: tasks}}
}

func verbOperation(id string, v resources.Verb, kind api.Kind, name string) resources.Operation {
	return resources.Operation{ID: id, Verb: v, Kind: kind, Name: name}
}

// apply applies an operation as the only one of the next record.
func apply(t *testing.T, s *resources.Store, op resources.Operation) resources.Outcome {
	t.Helper()
	outcomes, err := s.Apply(s.View().Offset()+1, op)
	if err != nil || len(outcomes) != 1 {
		t.Fatalf("apply %+v: %v, %v", op, outcomes, err)
	}
	return outcomes[0]
}

// Guards against preconditions that are evaluated incorrectly, and against
// changes that the verb or the kind does not allow.
func TestOutcomes(t *testing.T) {
	none := resources.Precondition{}
	mustNotExist := resources.Precondition{MustNotExist: true}
	steps := []struct {
		op      resources.Operation
		code    result.Code
		version api.Version
	}{
		{putOperation("", job("a", 1), mustNotExist), result.OK, 1},
		{putOperation("", job("a", 2), mustNotExist), result.Conflict, 1},
		{putOperation("", job("a", 2), resources.Precondition{Version: 2}), result.Conflict, 1},
		{putOperation("", job("a", 2), resources.Precondition{Version: 1}), result.OK, 4},
		{putOperation("", job("a", 2), resources.Precondition{Version: 1}), result.Conflict, 4},
		{putOperation("", job("b", 2), resources.Precondition{Version: 1}), result.Conflict, 0},
		{verbOperation("", resources.VerbCancel, api.KindJob, "a"), result.OK, 7},
		{putOperation("", job("a", 3), none), result.OK, 8}, // stays cancelled
		{verbOperation("", resources.VerbDelete, api.KindJob, "b"), result.NotFound, 0},
		{verbOperation("", resources.VerbCancel, api.KindTeam, "b"), result.NotFound, 0},
		{verbOperation("", resources.VerbTakeOut, api.KindJob, "a"), result.BadResource, 8},
		{verbOperation("", "rename", api.KindJob, "a"), result.BadResource, 8},
		{verbOperation("", resources.VerbDelete, "clusters", "a"), result.BadResource, 0},
		{resources.Operation{Verb: resources.VerbPut, Kind: api.KindJob, Name: "a", Body: []byte(`{`)}, result.BadResource, 8},
		{resources.Operation{Verb: resources.VerbPut, Kind: api.KindTeam, Name: "a", Body: []byte(`{"job":{}}`)}, result.BadResource, 0},
		{putOperation("", dataCentre("d", true, 4), none), result.OK, 16},
		{putOperation("", dataCentre("d", true, 16), none), result.BadResource, 16},
		{verbOperation("", resources.VerbTakeOut, api.KindDataCentre, "d"), result.OK, 18},
		{putOperation("", dataCentre("d", true, 4), none), result.Conflict, 18}, // an outdated file does not undo a take-out
		{putOperation("", dataCentre("d", true, 4), resources.Precondition{Version: 18}), result.OK, 20},
		{verbOperation("", resources.VerbTakeOut, api.KindDataCentre, "d"), result.OK, 21},
		{verbOperation("", resources.VerbBringBack, api.KindDataCentre, "d"), result.OK, 22},
	}
	s := resources.New(resources.Limits{})
	for i, step := range steps {
		t.Run(fmt.Sprint(i+1), func(t *testing.T) {
			is := is.New(t)
			got := apply(t, s, step.op)
			is.Equal(got.Code, step.code)
			is.Equal(got.Version, step.version)
			is.Equal(got.Err() == nil, step.code == result.OK)
		})
	}
	is := is.New(t)
	a, _ := s.View().Get(api.KindJob, "a")
	is.Equal(a.Meta, api.Meta{Kind: api.KindJob, Name: "a", Version: 8, Created: 1})
	is.True(a.Job.Cancelled && a.Job.Tasks == 3)
	d, _ := s.View().Get(api.KindDataCentre, "d")
	is.True(d.DataCentre.InService)
	is.Equal(s.View().Len(api.KindJob), 1)
}

// Guards against a duplicate that takes effect again, for example a put that
// overwrites a later write, and against an id used for two operations.
func TestDuplicateGetsFirstOutcome(t *testing.T) {
	is := is.New(t)
	s := resources.New(resources.Limits{Outcomes: 2})
	first := putOperation("op-1", job("a", 1), resources.Precondition{})
	is.Equal(apply(t, s, first).Version, api.Version(1))
	is.Equal(apply(t, s, putOperation("op-2", job("a", 2), resources.Precondition{})).Version, api.Version(2))
	again := apply(t, s, first)
	is.True(again.Duplicate && again.Code == result.OK && again.Version == 1 && again.Offset == 1)
	a, _ := s.View().Get(api.KindJob, "a")
	is.Equal(a.Job.Tasks, 2)
	other := apply(t, s, putOperation("op-1", job("b", 1), resources.Precondition{}))
	is.Equal(other.Code, result.BadResource)
	duplicate, ok := s.Duplicate(putOperation("op-1", job("b", 1), resources.Precondition{}))
	is.True(ok && duplicate.Code == result.BadResource) // the same outcome before the operation is appended
	duplicate, ok = s.Duplicate(first)
	is.True(ok && duplicate.Code == result.OK && duplicate.Duplicate)
	original, ok := s.Outcome("op-1")
	is.True(ok && original.Code == result.OK) // the rejection does not replace the outcome
	apply(t, s, putOperation("op-3", job("a", 3), resources.Precondition{}))
	_, ok = s.Outcome("op-1")
	is.True(!ok) // evicted: only two outcomes are retained
}

// Guards against a store that applies an old record again or skips a record.
func TestApplyIgnoresOldRecordsAndRejectsGaps(t *testing.T) {
	is := is.New(t)
	s := resources.New(resources.Limits{})
	apply(t, s, putOperation("", job("a", 1), resources.Precondition{}))
	outcomes, err := s.Apply(1, verbOperation("", resources.VerbDelete, api.KindJob, "a"))
	is.NoErr(err)
	is.Equal(len(outcomes), 0)
	_, err = s.Apply(3, verbOperation("", resources.VerbDelete, api.KindJob, "a"))
	is.True(errors.Is(err, resources.ErrGap))
	is.Equal(s.View().Offset(), int64(1))
	_, ok := s.View().Get(api.KindJob, "a")
	is.True(ok)
}

// Guards against homes that change after the creation of a job: if a take-out
// or a later put changed them, every task would get another initial cell.
func TestHomesAreFixedAtCreation(t *testing.T) {
	is := is.New(t)
	s := resources.New(resources.Limits{})
	none := resources.Precondition{}
	apply(t, s, putOperation("", dataCentre("d", true, 4), none))
	apply(t, s, putOperation("", dataCentre("e", true, 8), none))
	apply(t, s, putOperation("", job("a", 1), none))
	apply(t, s, verbOperation("", resources.VerbTakeOut, api.KindDataCentre, "d"))
	apply(t, s, putOperation("", job("a", 2), none))
	apply(t, s, putOperation("", job("b", 2), none))
	a, _ := s.View().Get(api.KindJob, "a")
	b, _ := s.View().Get(api.KindJob, "b")
	is.Equal(a.Homes, []api.Home{{DataCentre: "d", Cells: 4}, {DataCentre: "e", Cells: 8}})
	is.Equal(b.Homes, []api.Home{{DataCentre: "e", Cells: 8}})
}

// Guards against two different states of one resource with the same version.
func TestOneRecordChangesAResourceOnce(t *testing.T) {
	is := is.New(t)
	s := resources.New(resources.Limits{})
	none := resources.Precondition{}
	outcomes, err := s.Apply(1, putOperation("", job("a", 1), none), putOperation("", job("b", 1), none), putOperation("", job("a", 2), none))
	is.NoErr(err)
	is.Equal([]result.Code{outcomes[0].Code, outcomes[1].Code, outcomes[2].Code}, []result.Code{result.OK, result.OK, result.Conflict})
}

// Guards against a watch that misses or repeats a change, and against one that
// gets no error when changes are no longer retained.
func TestEventWindow(t *testing.T) {
	is := is.New(t)
	s := resources.New(resources.Limits{Events: 3})
	before := s.View()
	none := resources.Precondition{}
	_, err := s.Apply(1, putOperation("", job("a", 1), none), putOperation("", job("b", 1), none))
	is.NoErr(err)
	<-before.Changed()
	_, err = s.Apply(2) // a record without operations
	is.NoErr(err)
	apply(t, s, putOperation("", dataCentre("d", true, 4), none))
	events, err := s.View().Events(api.KindJob, 0)
	is.NoErr(err)
	is.Equal(len(events), 2)
	apply(t, s, verbOperation("", resources.VerbDelete, api.KindJob, "b")) // evicts the event of a; version 1 becomes the oldest to watch from
	_, err = s.View().Events("", 0)
	is.Equal(result.CodeOf(err, result.OK), result.ListAgain)
	events, err = s.View().Events("", 1)
	is.NoErr(err)
	is.Equal(len(events), 2)
	is.Equal(events[1].Type, resources.EventDelete)
	is.Equal(events[1].Resource.Name, "b")
	events, err = s.View().Events("", 99)
	is.NoErr(err)
	is.Equal(len(events), 0)
	is.Equal(len(before.List(api.KindJob)), 0) // the old view has not changed
}

func ExampleStore() {
	store := resources.New(resources.Limits{})
	pool := api.Resource{Meta: api.Meta{Kind: api.KindPool, Name: "general"}, Pool: &api.PoolSpec{}}
	// Two operators create the same pool; the first operation in the log succeeds.
	for offset, id := range []string{"op-a", "op-b"} {
		op, err := resources.NewPut(id, pool, resources.Precondition{MustNotExist: true})
		if err != nil {
			fmt.Println(err)
			return
		}
		outcomes, _ := store.Apply(int64(offset)+1, op)
		fmt.Println(outcomes[0].ID, outcomes[0].Code, outcomes[0].Version)
	}
	// Output:
	// op-a OK 1
	// op-b Conflict 1
}
