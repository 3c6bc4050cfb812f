package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
)

// TestIndexNext guards against a search that skips a worker with enough
// free capacity, and against a change that shows in an older snapshot.
func TestIndexNext(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	workers := make([]Worker, 37)
	for i := range workers {
		workers[i] = Worker{ID: fmt.Sprintf("w%02d", i), Capacity: hostapi.Resources{MilliCPU: random.Int64N(100), MemoryMiB: random.Int64N(100)}}
	}
	s, err := NewSnapshot(CellID{}, 1, workers)
	is.NoErr(err)
	root, free := s.root, make([]hostapi.Resources, len(workers))
	for i := range workers {
		free[i] = workers[i].Capacity
	}
	for range 500 {
		need := hostapi.Resources{MilliCPU: random.Int64N(100), MemoryMiB: random.Int64N(100)}
		from := random.IntN(len(workers))
		want := -1
		for i := from; i < len(free) && want < 0; i++ {
			if need.Fits(free[i]) {
				want = i
			}
		}
		is.Equal(root.nextFitting(s.size, from, need), want)
		if want >= 0 {
			free[want] = free[want].Sub(scaleResources(need, 0.3))
			root = root.set(s.size, want, s.At(want), free[want])
		}
	}
	is.Equal(s.root.leaf(s.size, 5).free, workers[5].Capacity)
}
