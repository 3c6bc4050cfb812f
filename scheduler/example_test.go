package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
)

// A task that needs accelerators waits with a reason; another one is placed.
func Example() {
	policy := scheduler.New(scheduler.DefaultConfig(), scheduler.NewLearnedState(), rand.New(rand.NewPCG(1, 2)))
	worker := scheduler.Worker{ID: "w1", Boot: "b1", Capacity: hostapi.Resources{MilliCPU: 8000, MemoryMiB: 8000}}
	snapshot, err := scheduler.NewSnapshot(scheduler.CellID{DataCentre: "giza"}, 1, []scheduler.Worker{worker})
	if err != nil {
		fmt.Println(err)
		return
	}
	need := hostapi.Resources{MilliCPU: 1000, MemoryMiB: 100}
	plan := policy.Place(time.Second, snapshot, []scheduler.Task{
		{ID: "reports/7/0", Job: "reports/7", Kind: "report", Requests: need, Attempt: 1},
		{ID: "training/8/0", Job: "training/8", Kind: "training", Requests: hostapi.Resources{MilliCPU: 1000, Accelerators: 2}, Attempt: 1},
	})
	fmt.Println(plan.Placements[0].Task, plan.Placements[0].Worker)
	fmt.Println(plan.Unplaced[0].Task, plan.Unplaced[0].Reason)
	// Output:
	// reports/7/0 w1
	// training/8/0 pending: no worker with 2 accelerators free
}
