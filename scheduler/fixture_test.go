package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
)

// core is one processor core.
const core = 1000

// resources returns an amount of cores, GiB and accelerators.
func resources(cores, gib, accelerators int64) hostapi.Resources {
	return hostapi.Resources{MilliCPU: cores * core, MemoryMiB: gib << 10, Accelerators: accelerators}
}

// newPolicy returns a policy with the given rules and a fixed seed.
func newPolicy(rules Rules) *Policy {
	config := DefaultConfig()
	config.Rules = rules
	return New(config, NewLearnedState(), rand.New(rand.NewPCG(1, 2)))
}

// workersOf returns workers of 64 cores and 250 GiB, four to a rack.
func workersOf(n int) []Worker {
	workers := make([]Worker, n)
	for i := range workers {
		workers[i] = Worker{ID: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%d", i/4), Boot: "1", Capacity: resources(64, 250, 0)}
	}
	return workers
}

// snapshotOf returns a snapshot in service with equal weights.
func snapshotOf(t testing.TB, workers []Worker) *Snapshot {
	t.Helper()
	s, err := NewSnapshot(CellID{DataCentre: "giza"}, 1, workers)
	if err != nil {
		t.Fatal(err)
	}
	return s.WithWeights(api.WeightsSpec{TailLatency: 50, DataCentreChanges: 50, Evictions: 50, Throughput: 50})
}

// pendingBatch returns a pending batch task of its own job.
func pendingBatch(name string, need hostapi.Resources) Task {
	job := name + "/7"
	return Task{ID: job + "/0", Job: job, Team: "a", Kind: "import", Requests: need, RunTime: time.Minute, Attempt: 1}
}

// runningBatch returns a running batch attempt of its own job.
func runningBatch(name string, need hostapi.Resources) Attempt {
	job := name + "/7"
	return Attempt{
		ID: hostapi.AttemptID{Task: job + "/0", Attempt: 1}, Job: job, Team: "a", Kind: "import",
		Requests: need, RunTime: 10 * time.Minute, CheckpointCost: time.Second,
	}
}

// failedOutcome returns the outcome of a failed attempt.
func failedOutcome(job, worker string) Outcome {
	return Outcome{
		ID: hostapi.AttemptID{Task: job + "/0", Attempt: 1}, Job: job, Worker: worker, Boot: "1",
		State: hostapi.AttemptFailed, Message: "exit 1", Requests: resources(1, 1, 0),
	}
}
