package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
)

// TestWorkLeavesALeavingWorker guards against work that stays on a VM until the VM
// shuts down, and against a service that loses all its replicas on a leaving worker
// at once.
func TestWorkLeavesALeavingWorker(t *testing.T) {
	is := is.New(t)
	attempt := func(task string, service bool) Attempt {
		return Attempt{ID: hostapi.AttemptID{Task: task, Attempt: 1}, Job: task, Service: service, RunTime: time.Hour}
	}
	w := Worker{ID: "w", Leaving: true, Capacity: hostapi.Resources{MilliCPU: 8000, MemoryMiB: 8000}}
	w.Attempts = []Attempt{attempt("s/1", true), attempt("s/2", true), attempt("j/1", false), attempt("j/2", false)}
	s, err := NewSnapshot(CellID{DataCentre: "giza"}, 1, []Worker{w})
	is.NoErr(err)
	p := New(DefaultConfig(), NewLearnedState(), rand.New(rand.NewPCG(1, 1)))
	moved := map[string]bool{}
	for _, a := range p.Act(time.Minute, s) {
		is.Equal(a.Kind, Move)
		moved[a.ID.Task] = true
	}
	is.Equal(moved, map[string]bool{"s/1": true, "j/1": true, "j/2": true})
}
