package tasks_test

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/tasks"
)

// The machine of a cell creates the tasks of a declared job whose home is that
// cell. They are pending until they are placed.
func Example() {
	machine := tasks.New(tasks.DefaultConfig("giza-1", "giza", 0))
	work := tasks.Work{
		Kind:        api.KindJob,
		Name:        "reports",
		Created:     7,
		Count:       2,
		Requests:    hostapi.Resources{MilliCPU: 1000, MemoryMiB: 100},
		DataCentres: []tasks.DataCentre{{Name: "giza", Cells: 1}},
	}
	machine.Step(time.Second, tasks.WorkChanged{Work: work})
	machine.Step(time.Second, tasks.WorkThrough{Version: 7})
	for _, t := range machine.Tasks() {
		fmt.Println(t.Task, t.Status)
	}
	// Output:
	// reports/7/0 pending
	// reports/7/1 pending
}
