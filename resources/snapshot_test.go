package resources_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/resources"
)

var verbs = []resources.Verb{
	resources.VerbPut, resources.VerbPut, resources.VerbPut, resources.VerbDelete,
	resources.VerbCancel, resources.VerbTakeOut, resources.VerbBringBack,
}

// drawOperation draws an operation on few names and ids, so that preconditions
// and duplicates often matter.
func drawOperation(t *rapid.T, at int) resources.Operation {
	p := resources.Precondition{}
	switch rapid.IntRange(0, 3).Draw(t, "precondition") {
	case 0:
		p.MustNotExist = true
	case 1:
		p.Version = api.Version(rapid.IntRange(1, at+1).Draw(t, "version"))
	}
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	id := fmt.Sprint(rapid.IntRange(0, at+2).Draw(t, "id"))
	r := job(name, rapid.IntRange(1, 9).Draw(t, "tasks"))
	if rapid.Bool().Draw(t, "data centre") {
		r = dataCentre(name, rapid.Bool().Draw(t, "in service"), rapid.IntRange(4, 5).Draw(t, "cells"))
	}
	op := put(id, r, p)
	if v := rapid.SampledFrom(verbs).Draw(t, "verb"); v != resources.VerbPut {
		op.Verb, op.Body = v, nil
	}
	return op
}

func encoded(t interface{ Fatal(...any) }, s *resources.Store) string {
	data, _, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against state that a snapshot loses: a store that starts from any
// snapshot and applies the rest must equal one that read the whole stream, in
// its outcomes too.
func TestSnapshotAndRestEqualWholeStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := resources.Limits{Outcomes: rapid.IntRange(1, 8).Draw(t, "outcomes"), Events: rapid.IntRange(1, 8).Draw(t, "events")}
		count := rapid.IntRange(1, 30).Draw(t, "records")
		cut := rapid.IntRange(1, count).Draw(t, "cut")
		whole, resumed := resources.New(limits), resources.New(limits)
		for i := 1; i <= count; i++ {
			ops := make([]resources.Operation, rapid.IntRange(0, 3).Draw(t, "operations"))
			for j := range ops {
				ops[j] = drawOperation(t, i)
			}
			want, err := whole.Apply(int64(i), ops...)
			if err != nil {
				t.Fatal(err)
			}
			if i == cut {
				adopted, err := resumed.Restore([]byte(encoded(t, whole)))
				if err != nil || !adopted {
					t.Fatal("snapshot was not adopted", err)
				}
			}
			if i <= cut {
				continue
			}
			got, err := resumed.Apply(int64(i), ops...)
			if err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("record %d: outcomes %v after the snapshot, %v in the whole stream (%v)", i, got, want, err)
			}
		}
		if encoded(t, whole) != encoded(t, resumed) {
			t.Fatalf("states differ:\n%s\n%s", encoded(t, whole), encoded(t, resumed))
		}
		checkEvents(t, resumed.View(), cut)
	})
}

// checkEvents requires that the events after the snapshot, applied to it, are
// those of the view: ordered, and the last one of each name is its state.
func checkEvents(t *rapid.T, v *resources.View, cut int) {
	events, err := v.Events("", api.Version(cut))
	if err != nil {
		return // the window has moved on
	}
	last := map[api.Meta]resources.Event{}
	for _, e := range events {
		last[api.Meta{Kind: e.Resource.Kind, Name: e.Resource.Name}] = e
	}
	for meta, e := range last {
		r, ok := v.Get(meta.Kind, meta.Name)
		if ok != (e.Type == resources.EventPut) || (ok && r.Version != e.Version) {
			t.Fatalf("last event of %v is %v at %d; the view has %v at %d", meta, e.Type, e.Version, ok, r.Version)
		}
	}
}

// Guards against a snapshot that moves the store back, or a damaged one that
// changes it.
func TestRestoreOnlyUpward(t *testing.T) {
	is := is.New(t)
	s := resources.New(resources.Limits{})
	apply(t, s, put("", job("a", 1), resources.Precondition{}))
	old := encoded(t, s)
	apply(t, s, put("", job("a", 2), resources.Precondition{}))
	state := encoded(t, s)
	adopted, err := s.Restore([]byte(old))
	is.NoErr(err)
	is.True(!adopted)
	for _, damaged := range []string{"", old[:len(old)/2], `{"format":2,"offset":9}`, `{"format":1,"offset":9,"resources":[null]}`} {
		_, err = s.Restore([]byte(damaged))
		is.True(err != nil)
	}
	is.Equal(encoded(t, s), state)
}
