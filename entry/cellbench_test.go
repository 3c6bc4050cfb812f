package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/capacity"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/scheduler"
	"github.com/cactusreel/cactusreel/tasks"
	"github.com/cactusreel/cactusreel/writer"
)

const (
	benchWorkers = 45
	benchTerm    = 9
	benchDC      = "giza"
)

// benchHost is a cellHost with one cell. Its worker agents are unreachable, so
// that a benchmark measures only the runner.
type benchHost struct {
	work *declaredWork
	list *vmList
}

func (h *benchHost) workerAgent(string) (hostapi.WorkerAgent, bool) { return nil, false }
func (h *benchHost) offerMove(context.Context, tasks.OfferMove)     {}
func (h *benchHost) confirmMove(context.Context, tasks.ConfirmMove) {}
func (h *benchHost) declaredWork() *declaredWork                    { return h.work }
func (h *benchHost) vmList() *vmList                                { return h.list }
func (h *benchHost) leavingServers() map[string]string              { return nil }
func (h *benchHost) cellCount() int                                 { return 1 }
func (h *benchHost) startUntil() time.Duration                      { return time.Hour }
func (h *benchHost) claimsReadAt() time.Duration                    { return time.Hour }
func (h *benchHost) latencyP99(string, string) time.Duration        { return 0 }
func (h *benchHost) otherCellSummaries(int) []scheduler.CellSummary { return nil }
func (h *benchHost) workerTimeout() time.Duration                   { return time.Second }
func (h *benchHost) snapshotInterval() time.Duration                { return 100 * time.Hour }

// benchCell is a cell runner with running tasks and a virtual clock.
type benchCell struct {
	*cellRunner
	now         time.Duration
	clockOffset time.Duration
	tasks       map[string][]hostapi.Attempt
	offset      int64
}

// newBenchCell returns a cell with a number of running tasks, from jobs of 20
// tasks each.
func newBenchCell(tb testing.TB, running int) *benchCell {
	tb.Helper()
	c := &benchCell{now: time.Minute, tasks: make(map[string][]hostapi.Attempt)}
	store := benchStore(tb, (running+19)/20)
	host := &benchHost{work: newDeclaredWork(store.View(), benchDC, c.now, nil), list: benchVMList()}
	config := tasks.DefaultConfig("vm", benchDC, 0)
	config.SnapshotRecords = 1 << 30
	cell := scheduler.CellID{DataCentre: benchDC}
	w := writer.New(nil, writer.Options{Stream: record.TasksStream(benchDC, 0), Incarnation: 1})
	c.cellRunner = newCellRunner(tb.Context(), cellOptions{cell: cell, config: config, host: host, writer: w, clock: func() time.Duration { return c.now }, poll: time.Second})
	c.handleOwnership(ownership.View{OwnState: ownership.StateHeld, OwnTerm: benchTerm, Term: benchTerm, PlaceUntil: time.Hour})
	c.tick()
	c.appendRecords(tb, &recordpb.Record{Term: benchTerm, Open: &recordpb.Open{Owner: "vm"}})
	c.observeAll()
	c.recordPlacements(tb, running)
	c.observeAll()
	c.tick()
	return c
}

func benchStore(tb testing.TB, jobs int) *resources.Store {
	store := resources.New(resources.Limits{})
	put := func(r api.Resource) {
		op, err := resources.NewPut("", r, resources.Precondition{})
		if err != nil {
			tb.Fatal(err)
		}
		if _, err := store.Apply(store.View().Offset()+1, op); err != nil {
			tb.Fatal(err)
		}
	}
	put(api.Resource{Meta: api.Meta{Kind: api.KindDataCentre, Name: benchDC}, DataCentre: &api.DataCentreSpec{InService: true, Cells: 1, DrainSeconds: 120}})
	for i := range 130 {
		put(api.Resource{Meta: api.Meta{Kind: api.KindTeam, Name: fmt.Sprintf("team-%03d", i)}, Team: &api.TeamSpec{Quota: hostapi.Resources{MilliCPU: 1 << 30, MemoryMiB: 1 << 30}}})
	}
	for i := range jobs {
		put(api.Resource{Meta: api.Meta{Kind: api.KindJob, Name: fmt.Sprintf("import-%05d", i)}, Job: &api.JobSpec{
			Team: fmt.Sprintf("team-%03d", i%130), TaskKind: fmt.Sprintf("kind-%d", i%20), Tasks: 20,
			Requests: hostapi.Resources{MilliCPU: 1000, MemoryMiB: 2048}, RunSeconds: 3600,
		}})
	}
	return store
}

func benchVMList() *vmList {
	var vms []hostapi.VM
	for i := range benchWorkers {
		vms = append(vms, hostapi.VM{
			ID: benchWorker(i), DataCentre: benchDC, Rack: fmt.Sprintf("rack-%d", i/11), Role: hostapi.RoleWorker, State: hostapi.VMLive,
			Capacity: hostapi.Resources{MilliCPU: 256_000, MemoryMiB: 1 << 20},
		})
	}
	return newVMList(vms, time.Second)
}

func benchWorker(i int) string {
	return fmt.Sprintf("giza-worker-%04d", i)
}

func (c *benchCell) appendRecords(tb testing.TB, records ...*recordpb.Record) {
	data, err := record.EncodeBatch(records)
	if err != nil {
		tb.Fatal(err)
	}
	c.offset++
	id := record.ID{Incarnation: 1, Sequence: uint64(c.offset)}
	c.applyRecord(hostapi.LogRecord{Offset: c.offset, ID: id.String(), Data: data})
}

// recordPlacements records the placement of the first tasks in order of id.
func (c *benchCell) recordPlacements(tb testing.TB, running int) {
	for i, t := range c.machine.Tasks()[:running] {
		worker := benchWorker(i % benchWorkers)
		c.appendRecords(tb, &recordpb.Record{Term: benchTerm, Placed: &recordpb.Placed{
			Task: t.Task, Attempt: 1, Worker: worker, Boot: "boot", Requests: &recordpb.Amount{MilliCpu: 1000, MemoryMib: 2048},
		}})
		c.tasks[worker] = append(c.tasks[worker], hostapi.Attempt{
			ID: hostapi.AttemptID{Task: t.Task, Attempt: 1}, State: hostapi.AttemptRunning, Kind: "kind-1",
			Requests: hostapi.Resources{MilliCPU: 1000, MemoryMiB: 2048}, LeaseExpiry: 10 * time.Hour, Progress: 0.5, Throttle: 1,
		})
	}
}

func (c *benchCell) observeAll() {
	for i := range benchWorkers {
		c.observeOne(i)
	}
}

// observeOne delivers a worker's answer with a new usage report for each
// attempt.
func (c *benchCell) observeOne(i int) {
	c.clockOffset += time.Microsecond
	worker := benchWorker(i)
	state := hostapi.WorkerState{
		Worker: worker, Boot: "boot", Clock: time.Hour + c.clockOffset, Term: benchTerm,
		Capacity: hostapi.Resources{MilliCPU: 256_000, MemoryMiB: 1 << 20}, Attempts: c.tasks[worker],
	}
	for _, a := range c.tasks[worker] {
		state.Usage = append(state.Usage, hostapi.Usage{
			ID: a.ID, MeasuredAt: time.Hour + c.clockOffset, Colocated: []string{"kind-2"}, Used: a.Requests, Slowdown: 1.1, Load: 0.5,
		})
	}
	c.handleAnswer(&workerAnswer{sentAt: c.now, observation: workerObservation{state: state, receivedAt: c.now}})
}

func (c *benchCell) running() int {
	n := 0
	for _, t := range c.view().tasks {
		if t.Running {
			n++
		}
	}
	return n
}

// Guards against benchmarks of a cell whose tasks do not run.
func TestBenchCellRuns(t *testing.T) {
	is := is.New(t)
	c := newBenchCell(t, 90)
	is.Equal(c.running(), 90)
	is.True(c.view().accepting)
	is.Equal(len(c.runningAttempts), 90)
}

// Guards against usage reports that do not reach the policy, and against
// reports that are attributed to an attempt on another worker.
func TestWorkerForUsage(t *testing.T) {
	is := is.New(t)
	c := newBenchCell(t, 90)
	observation := c.observations[benchWorker(0)]
	w := c.workerForUsage(c.now, observation, observation.state.Usage, c.host.declaredWork())
	is.Equal(len(w.Attempts), 2)
	for i, a := range w.Attempts {
		is.Equal(a.ID, observation.state.Usage[i].ID)
		is.Equal(a.Kind, c.host.declaredWork().jobs[a.Job].work.TaskKind)
	}
	other := c.observations[benchWorker(1)].state.Usage
	is.Equal(len(c.workerForUsage(c.now, observation, other, c.host.declaredWork()).Attempts), 0)
}

// Guards against a view that is copied at every tick however large it is, and
// against one that shows a former term or owner state or is older than the
// interval requires.
func TestPublishInterval(t *testing.T) {
	is := is.New(t)
	for running, ticks := range map[int]int{90: 1, 1300: 6} {
		c := newBenchCell(t, running)
		before := c.view()
		for range ticks - 1 {
			c.now += cellTick
			c.tick()
			is.Equal(c.view(), before)
		}
		c.now += cellTick
		c.tick()
		is.True(c.view() != before)
		c.handleOwnership(ownership.View{OwnState: ownership.StateLost, OwnTerm: benchTerm, Term: benchTerm + 1})
		c.tick()
		is.Equal(c.view().ownState, ownership.StateLost)
	}
}

// benchSizes runs a benchmark of a cell with several numbers of running tasks.
// It reports processor time in addition to wall time.
func benchSizes(b *testing.B, f func(c *benchCell, i int)) {
	for _, n := range []int{325, 650, 1300, 2600} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			c := newBenchCell(b, n)
			b.ReportAllocs()
			begin := capacity.ProcessorTime()
			i := 0
			for b.Loop() {
				f(c, i)
				i++
			}
			b.ReportMetric(float64(capacity.ProcessorTime()-begin)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkCellTick measures one second of an idle runner: ten ticks with five
// placement rounds and one control round.
func BenchmarkCellTick(b *testing.B) {
	benchSizes(b, func(c *benchCell, _ int) {
		for range time.Second / cellTick {
			c.now += cellTick
			c.tick()
		}
		// Reset the virtual time, because the workers do not answer.
		c.now -= time.Second
		c.lastPlacementRoundAt -= time.Second
		c.lastControlRoundAt -= time.Second
		c.publishedAt -= time.Second
	})
}

// BenchmarkCellObservation measures one worker's answer with its usage reports.
func BenchmarkCellObservation(b *testing.B) {
	benchSizes(b, func(c *benchCell, i int) { c.observeOne(i % benchWorkers) })
}

// BenchmarkDeclaredWork measures the cost of a new record of the resources
// stream for an entry VM, without applying it to the store.
func BenchmarkDeclaredWork(b *testing.B) {
	for _, jobs := range []int{6000, 12_000, 24_000, 48_000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			view := benchStore(b, jobs).View()
			before := newDeclaredWork(view, benchDC, time.Minute, nil)
			before.offset--
			b.ReportAllocs()
			begin := capacity.ProcessorTime()
			for b.Loop() {
				newDeclaredWork(view, benchDC, time.Minute, before)
			}
			b.ReportMetric(float64(capacity.ProcessorTime()-begin)/float64(b.N), "cpu-ns/op")
		})
	}
}
