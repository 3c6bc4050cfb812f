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

// drawOperation draws an operation from a small set of names and ids, so that
// conflicts and duplicates are frequent.
func drawOperation(t *rapid.T, recordOffset int) resources.Operation {
	p := resources.Precondition{}
	switch rapid.IntRange(0, 3).Draw(t, "precondition") {
	case 0:
		p.MustNotExist = true
	case 1:
		p.Version = api.Version(rapid.IntRange(1, recordOffset+1).Draw(t, "version"))
	}
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	id := fmt.Sprint(rapid.IntRange(0, recordOffset+2).Draw(t, "id"))
	r := job(name, rapid.IntRange(1, 9).Draw(t, "tasks"))
	if rapid.Bool().Draw(t, "data centre") {
		r = dataCentre(name, rapid.Bool().Draw(t, "in service"), rapid.IntRange(4, 5).Draw(t, "cells"))
	}
	op := putOperation(id, r, p)
	if v := rapid.SampledFrom(verbs).Draw(t, "verb"); v != resources.VerbPut {
		op.Verb, op.Body = v, nil
	}
	return op
}

func encodeSnapshot(t interface{ Fatal(...any) }, s *resources.Store) string {
	data, _, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Guards against state that is missing from snapshots: a store that is restored
// from any snapshot and then applies the remaining records must have the same
// state and outcomes as a store that applied the whole stream.
func TestRestoreAndReplayMatchFullReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := resources.Limits{Outcomes: rapid.IntRange(1, 8).Draw(t, "outcomes"), Events: rapid.IntRange(1, 8).Draw(t, "events")}
		count := rapid.IntRange(1, 30).Draw(t, "records")
		snapshotOffset := rapid.IntRange(1, count).Draw(t, "snapshot offset")
		full, restored := resources.New(limits), resources.New(limits)
		for i := 1; i <= count; i++ {
			ops := make([]resources.Operation, rapid.IntRange(0, 3).Draw(t, "operations"))
			for j := range ops {
				ops[j] = drawOperation(t, i)
			}
			want, err := full.Apply(int64(i), ops...)
			if err != nil {
				t.Fatal(err)
			}
			if i == snapshotOffset {
				replaced, err := restored.Restore([]byte(encodeSnapshot(t, full)))
				if err != nil || !replaced {
					t.Fatal("snapshot was not restored:", err)
				}
			}
			if i <= snapshotOffset {
				continue
			}
			got, err := restored.Apply(int64(i), ops...)
			if err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("record %d: outcomes %v in the restored store, %v in the full replay (error %v)", i, got, want, err)
			}
		}
		if encodeSnapshot(t, full) != encodeSnapshot(t, restored) {
			t.Fatalf("states differ:\nfull replay: %s\nrestored:    %s", encodeSnapshot(t, full), encodeSnapshot(t, restored))
		}
		checkEvents(t, restored.View(), snapshotOffset)
	})
}

// checkEvents checks that the last event of each resource after the snapshot
// matches the state of the resource in the view.
func checkEvents(t *rapid.T, v *resources.View, snapshotOffset int) {
	events, err := v.Events("", api.Version(snapshotOffset))
	if err != nil {
		return // the events after the snapshot are no longer all retained
	}
	last := map[api.Meta]resources.Event{}
	for _, e := range events {
		last[api.Meta{Kind: e.Resource.Kind, Name: e.Resource.Name}] = e
	}
	for meta, e := range last {
		r, ok := v.Get(meta.Kind, meta.Name)
		if ok != (e.Type == resources.EventPut) || (ok && r.Version != e.Version) {
			t.Fatalf("last event of %v: type %v, version %d; in the view: exists %v, version %d", meta, e.Type, e.Version, ok, r.Version)
		}
	}
}

// Guards against an older snapshot that replaces newer state, and against a
// damaged snapshot that changes the state.
func TestRestoreIgnoresOlderAndRejectsDamagedSnapshots(t *testing.T) {
	is := is.New(t)
	s := resources.New(resources.Limits{})
	apply(t, s, putOperation("", job("a", 1), resources.Precondition{}))
	old := encodeSnapshot(t, s)
	apply(t, s, putOperation("", job("a", 2), resources.Precondition{}))
	state := encodeSnapshot(t, s)
	replaced, err := s.Restore([]byte(old))
	is.NoErr(err)
	is.True(!replaced)
	for _, damaged := range []string{"", old[:len(old)/2], `{"format":2,"offset":9}`, `{"format":1,"offset":9,"resources":[null]}`} {
		_, err = s.Restore([]byte(damaged))
		is.True(err != nil)
	}
	is.Equal(encodeSnapshot(t, s), state)
}
