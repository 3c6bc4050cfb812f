package capacity

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/tasks"
)

// taskSizes are the measured numbers of running tasks of a cell. The planned
// scale has about 1,300.
var taskSizes = []int{325, 650, 1300, 2600}

// measureCell measures the costs of the task machine per running task.
func measureCell(r *Report) error {
	points := make(map[string][]Point)
	add := func(name string, size int, value float64) {
		points[name] = append(points[name], Point{float64(size), value})
	}
	for _, n := range taskSizes {
		var c *Cell
		add("heap", n, liveHeap(func() any { c = NewCell(n); return c }))
		if got := c.Running(); got != n {
			return fmt.Errorf("cell of %d tasks runs %d", n, got)
		}
		add("tick", n, costPerCall(func(int) { c.Step(tasks.Tick{}) }))
		add("view", n, costPerCall(func(int) { c.Machine.Tasks() }))
		add("observation", n, costPerCall(func(i int) { c.Observe(i % workersPerCell) }))
		add("start cycle", n, costPerCall(c.Cycle))
		add("renewal", n, c.renewalCost())
		data, err := c.Machine.Snapshot()
		if err != nil {
			return err
		}
		add("snapshot size", n, float64(len(data)))
		add("snapshot time", n, costPerCall(func(int) { _, _ = c.Machine.Snapshot() }))
	}
	for _, name := range []string{"heap", "tick", "view", "observation", "start cycle", "renewal", "snapshot size", "snapshot time"} {
		unit := "ns"
		if name == "heap" || name == "snapshot size" {
			unit = "bytes"
		}
		r.addSlope("task machine: "+name, "running task", unit, points[name])
	}
	return nil
}

// renewalCost returns the processor time in nanoseconds of a tick that renews
// every lease of the cell, without the observations that have to precede it.
func (c *Cell) renewalCost() float64 {
	var spent time.Duration
	const rounds = 40
	for range rounds {
		c.now += c.Machine.Config().RenewEvery
		c.ObserveAll()
		begin := ProcessorTime()
		c.Step(tasks.Tick{})
		spent += ProcessorTime() - begin
	}
	return float64(spent) / rounds
}

// measureDeclared measures what declared jobs of other data centres cost a cell's
// task machine, because every cell processes the declarations of all jobs.
func measureDeclared(r *Report) {
	var declareTime, heapSize []Point
	for _, jobs := range []int{1000, 2000, 4000, 8000} {
		c := NewCell(650)
		begin := ProcessorTime()
		heapSize = append(heapSize, Point{float64(jobs), liveHeap(func() any {
			for i := range jobs {
				c.Step(tasks.WorkChanged{Work: remoteWork(i)})
			}
			return c
		})})
		declareTime = append(declareTime, Point{float64(jobs), float64(ProcessorTime() - begin)})
	}
	r.addSlope("task machine of 650 tasks: declare", "job", "ns", declareTime)
	r.addSlope("task machine: heap of declared work", "job", "bytes", heapSize)
}

// remoteWork returns a job whose tasks belong to cells of other data centres.
func remoteWork(i int) tasks.Work {
	w := tasks.Work{
		Kind: "jobs", Name: fmt.Sprintf("other-import-%05d", i), Created: 3, Count: 20, MaxRetries: 3,
		Requests: batchRequests, TaskKind: "kind-1", RunTime: 10 * time.Minute,
	}
	for centre := range dataCentres - 1 {
		w.DataCentres = append(w.DataCentres, tasks.DataCentre{Name: dataCentreName(centre + 1), Cells: cellsPerDataCentre})
	}
	return w
}
