package capacity

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/tasks"
)

// taskSizes are numbers of running tasks of a cell; the planned scale has
// about 1,300.
var taskSizes = []int{325, 650, 1300, 2600}

// measureCell measures the task machine per running task.
func measureCell(r *Report) error {
	points := make(map[string][]Point)
	add := func(name string, size int, value float64) {
		points[name] = append(points[name], Point{float64(size), value})
	}
	for _, n := range taskSizes {
		var c *Cell
		add("heap", n, heap(func() any { c = NewCell(n); return c }))
		if got := c.Running(); got != n {
			return fmt.Errorf("cell of %d tasks runs %d", n, got)
		}
		add("tick", n, cost(func(int) { c.Step(tasks.Tick{}) }))
		add("view", n, cost(func(int) { c.Machine.Tasks() }))
		add("observation", n, cost(func(i int) { c.Observe(i % workersPerCell) }))
		add("start cycle", n, cost(c.Cycle))
		add("renewal", n, c.renewal())
		data, err := c.Machine.Snapshot()
		if err != nil {
			return err
		}
		add("snapshot size", n, float64(len(data)))
		add("snapshot time", n, cost(func(int) { _, _ = c.Machine.Snapshot() }))
	}
	for _, name := range []string{"heap", "tick", "view", "observation", "start cycle", "renewal", "snapshot size", "snapshot time"} {
		unit := "ns"
		if name == "heap" || name == "snapshot size" {
			unit = "bytes"
		}
		r.fit("task machine: "+name, "running task", unit, points[name])
	}
	return nil
}

// renewal returns the processor time of a tick that renews every lease of the
// cell, without the observations that have to come before it.
func (c *Cell) renewal() float64 {
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

// measureDeclared measures what declared work costs a cell's machine that runs
// other tasks: each cell is told of every job.
func measureDeclared(r *Report) {
	var spent, live []Point
	for _, jobs := range []int{1000, 2000, 4000, 8000} {
		c := NewCell(650)
		begin := ProcessorTime()
		live = append(live, Point{float64(jobs), heap(func() any {
			for i := range jobs {
				c.Step(tasks.WorkChanged{Work: foreignWork(i)})
			}
			return c
		})})
		spent = append(spent, Point{float64(jobs), float64(ProcessorTime() - begin)})
	}
	r.fit("task machine of 650 tasks: declare", "job", "ns", spent)
	r.fit("task machine: heap of declared work", "job", "bytes", live)
}

// foreignWork is a job whose tasks are at home in other data centres.
func foreignWork(i int) tasks.Work {
	w := tasks.Work{
		Kind: "jobs", Name: fmt.Sprintf("other-import-%05d", i), Created: 3, Count: 20, MaxRetries: 3,
		Requests: batchNeed, TaskKind: "kind-1", RunTime: 10 * time.Minute,
	}
	for centre := range dataCentres - 1 {
		w.DataCentres = append(w.DataCentres, tasks.DataCentre{Name: centreName(centre + 1), Cells: cellsPerCentre})
	}
	return w
}
