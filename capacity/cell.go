package capacity

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
	"github.com/cactusreel/cactusreel/tasks"
)

// Cell drives the task machine of one cell as the daemon uses it. Appended
// records are read back immediately, and the simulated workers report the
// attempts for which they received a start command.
type Cell struct {
	Machine *tasks.Machine
	now     time.Duration
	offset  int64
	work    tasks.Work
	workers []string
	running map[string][]hostapi.Attempt
}

// cellTerm is the term of the cell's owner in measurements.
const cellTerm = 9

// NewCell returns a cell of workersPerCell workers that runs the given number of
// tasks.
func NewCell(running int) *Cell {
	c := &Cell{now: startTime, running: make(map[string][]hostapi.Attempt)}
	c.Machine = tasks.New(tasks.DefaultConfig("vm", dataCentreName(0), 0))
	c.work = tasks.Work{
		Kind: api.KindJob, Name: "nightly-import-00001", Created: 2, Count: running, MaxRetries: 3, RunTime: time.Hour,
		Requests: batchRequests, TaskKind: "kind-1", DataCentres: []tasks.DataCentre{{Name: dataCentreName(0), Cells: 1}},
	}
	c.Step(tasks.PlacingChanged{Allowed: true})
	c.Step(tasks.WorkChanged{Work: c.work})
	c.Step(tasks.WorkThrough{Version: 2})
	c.listWorkers()
	c.Step(tasks.AuthorityChanged{PlaceUntil: 1000 * time.Hour, RenewUntil: 1000 * time.Hour})
	c.Step(tasks.Owned{Term: cellTerm})
	c.ObserveAll()
	for i := range running {
		c.Step(tasks.PlacementDecided{Task: c.work.TaskID(i), Worker: c.workers[i%len(c.workers)]})
	}
	c.ObserveAll()
	return c
}

func (c *Cell) listWorkers() {
	var list []tasks.Worker
	for i := range workersPerCell {
		id := fmt.Sprintf("%s-worker-%04d", dataCentreName(0), i)
		c.workers = append(c.workers, id)
		list = append(list, tasks.Worker{ID: id, Capacity: workerCapacity})
	}
	c.Step(tasks.WorkersListed{Workers: list})
}

// workerCapacity holds as many tasks as any measurement places on a worker.
var workerCapacity = hostapi.Resources{MilliCPU: 640_000, MemoryMiB: 2_500_000}

// Step passes an event to the machine, and executes its append and start actions.
func (c *Cell) Step(ev tasks.Event) {
	for _, action := range c.Machine.Step(c.now, ev) {
		switch a := action.(type) {
		case tasks.Append:
			c.readBack(a.Record)
		case tasks.Start:
			c.startAttempt(a)
		}
	}
}

func (c *Cell) readBack(r *recordpb.Record) {
	c.offset++
	c.Step(tasks.Applied{
		Offset:  c.offset,
		ID:      record.ID{Incarnation: 1, Sequence: uint64(c.offset)},
		Records: []*recordpb.Record{r},
	})
}

func (c *Cell) startAttempt(a tasks.Start) {
	c.running[a.Worker] = append(c.running[a.Worker], hostapi.Attempt{
		ID: a.Start.ID, State: hostapi.AttemptRunning, Kind: a.Start.Kind, Requests: a.Start.Requests,
		LeaseExpiry: 2000 * time.Hour, Progress: 0.5, Throttle: 1,
	})
}

// ObserveAll passes the current state of every worker to the machine.
func (c *Cell) ObserveAll() {
	for i := range c.workers {
		c.Observe(i)
	}
}

// Observe passes the current state of one worker to the machine.
func (c *Cell) Observe(i int) {
	c.now += time.Microsecond
	c.Step(tasks.Observed{SentAt: c.now, State: c.State(i)})
}

// State returns the state that a worker reports.
func (c *Cell) State(i int) hostapi.WorkerState {
	id := c.workers[i]
	return hostapi.WorkerState{
		Worker: id, Boot: "boot", Clock: c.now + time.Hour, Term: cellTerm,
		Capacity: workerCapacity, Attempts: c.running[id],
	}
}

// Cycle evicts a running task, lets the worker stop it, and places it again: one
// complete restart with the records Evicting, Ended and Placed.
func (c *Cell) Cycle(i int) {
	id := c.work.TaskID(i % c.work.Count)
	view, _ := c.Machine.Task(id)
	attempt := hostapi.AttemptID{Task: id, Attempt: view.Attempt}
	c.Step(tasks.EvictRequested{Task: id, Attempt: view.Attempt})
	c.Step(tasks.CheckpointAnswered{ID: attempt})
	c.removeAttempt(view.Worker, id)
	c.Step(tasks.StopAnswered{Worker: view.Worker, Boot: "boot", Report: hostapi.Attempt{ID: attempt, State: hostapi.AttemptStopped}})
	c.Step(tasks.PlacementDecided{Task: id, Worker: view.Worker})
}

func (c *Cell) removeAttempt(worker, task string) {
	var kept []hostapi.Attempt
	for _, a := range c.running[worker] {
		if a.ID.Task != task {
			kept = append(kept, a)
		}
	}
	c.running[worker] = kept
}

// Running returns the number of attempts that are running in the machine's state.
func (c *Cell) Running() int {
	n := 0
	for _, v := range c.Machine.Tasks() {
		if v.Running {
			n++
		}
	}
	return n
}
