package coordinator_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// maxRestartDelay is the time within which a long-running task must run again while
// there is capacity for it, as stated by the platform's users.
const maxRestartDelay = 6 * time.Second

// fakeWorkers are several workers, by id. Each has 8 cores.
type fakeWorkers map[string]*fakeWorker

func newFakeWorkers(endlessSubmission string, ids ...string) fakeWorkers {
	f := make(fakeWorkers)
	for _, id := range ids {
		f[id] = newFakeWorker()
		f[id].endlessSubmission = endlessSubmission
	}
	return f
}

func (f fakeWorkers) Heartbeat(ctx context.Context, epoch int64, h dispatch.Heartbeat) (workload.Report, dispatch.Answer) {
	return f[h.Worker].Heartbeat(ctx, epoch, h)
}

func (f fakeWorkers) Start(ctx context.Context, epoch int64, s dispatch.Start) dispatch.StartResult {
	return f[s.Worker].Start(ctx, epoch, s)
}

func (f fakeWorkers) Stop(ctx context.Context, epoch int64, s dispatch.Stop) dispatch.Answer {
	return f[s.Worker].Stop(ctx, epoch, s)
}

func (f fakeWorkers) Pace(ctx context.Context, epoch int64, s dispatch.Pace) dispatch.Answer {
	return f[s.Worker].Pace(ctx, epoch, s)
}

// Workers implements coordinator.WorkerDirectory.
func (f fakeWorkers) Workers(context.Context) ([]workload.Worker, bool, error) {
	var list []workload.Worker
	for id := range f {
		list = append(list, workload.Worker{
			Incarnation: workload.Incarnation{Worker: id, StartMillis: 1}, Service: "register", Address: id, DataCentre: "giza",
			Capacity: hostapi.Resources{MilliCPU: 8000, MemoryMiB: 1000},
		})
	}
	slices.SortFunc(list, func(a, b workload.Worker) int {
		if a.Worker < b.Worker {
			return -1
		}
		return 1
	})
	return list, false, nil
}

// running returns the active runs of a task on all workers.
func (f fakeWorkers) running(task workload.TaskID) []workload.RunID {
	var out []workload.RunID
	for _, w := range f {
		w.mu.Lock()
		for run := range w.runs {
			if run.Task == task {
				out = append(out, run)
			}
		}
		w.mu.Unlock()
	}
	return out
}

// starts returns the number of starts of a task on all workers.
func (f fakeWorkers) starts(task workload.TaskID) int {
	n := 0
	for _, w := range f {
		w.update(func() { n += w.starts[task] })
	}
	return n
}

// countRunning returns the number of active runs of the first tasks of submissions.
func (f fakeWorkers) countRunning(ids ...string) int {
	n := 0
	for _, id := range ids {
		n += len(f.running(workload.TaskID{Submission: id}))
	}
	return n
}

// failRuns ends the active runs of a task as failed.
func (f fakeWorkers) failRuns(task workload.TaskID) {
	for _, w := range f {
		w.update(func() {
			for run := range w.runs {
				if run.Task != task {
					continue
				}
				delete(w.runs, run)
				w.sequence++
				w.endedRuns = append(w.endedRuns, workload.EndedRun{RunID: run, Sequence: w.sequence, Outcome: workload.Errored})
			}
		})
	}
}

// maxCancelTime is the time after which a cancelled task must not run any more, as
// stated by the platform's users.
const maxCancelTime = 3 * time.Second

// startOwner runs the node vm-1, which owns all cells.
func startOwner(cells int, workers fakeWorkers) (*harness, *coordinator.Node) {
	h := newHarness()
	h.group.cells, h.workers = cells, workers
	h.group.assignTo("vm-1")
	n := h.startNode("vm-1", nil)
	time.Sleep(2 * time.Second)
	return h, n
}

func intakeStream(cell int) coordinator.Stream {
	return coordinator.Stream{Topic: "intake", Partition: cell}
}

// idInCell returns an id with a prefix that belongs to a cell.
func idInCell(prefix string, cell, cells int) string {
	for i := 0; ; i++ {
		id := fmt.Sprintf("%s%d", prefix, i)
		h := fnv.New32a()
		_, _ = h.Write([]byte(id))
		if int(h.Sum32()%uint32(cells)) == cell {
			return id
		}
	}
}

// idsInCell returns different ids that belong to a cell.
func idsInCell(count int, prefix string, cell, cells int) []string {
	var ids []string
	for i := range count {
		ids = append(ids, idInCell(fmt.Sprintf("%s%d-", prefix, i), cell, cells))
	}
	return ids
}

// longRunningIn returns a long-running submission of a cell, with one task that takes
// most of a worker.
func longRunningIn(prefix string, cell, cells int) *workload.Submission {
	s := submission(idInCell(prefix, cell, cells))
	s.Steps[0].LongRunning, s.Steps[0].Request.MilliCPU, s.Steps[0].Tasks = true, 6000, 1
	return s
}

// submitLongRunning submits long-running submissions to the first cell and returns
// their ids.
func submitLongRunning(is *is.I, n *coordinator.Node, count, cells int) []string {
	var ids []string
	for i := range count {
		s := longRunningIn(fmt.Sprintf("s%d-", i), 0, cells)
		ids = append(ids, s.ID)
		is.NoErr(n.Submit(timeoutContext(time.Second), s))
	}
	return ids
}

// transferHarness runs the node vm-1, which owns two cells. The submission watch-1 and
// w0 belong to the first cell, w1 and w3 to the second; each worker can run one of the
// submission's two tasks.
func transferHarness() (*harness, *coordinator.Node, *workload.Submission) {
	h, n := startOwner(2, newFakeWorkers("watch-1", "w0", "w1", "w3"))
	s := submission("watch-1")
	s.Steps[0].LongRunning, s.Steps[0].Request.MilliCPU = true, 6000
	return h, n, s
}

// runsOf returns the number of active runs of each task of a submission, and the number
// of starts of all of them.
func (f fakeWorkers) runsOf(s *workload.Submission) (active [2]int, starts int) {
	for index := range active {
		id := workload.TaskID{Submission: s.ID, Index: index}
		active[index] = len(f.running(id))
		starts += f.starts(id)
	}
	return active, starts
}

// Guards against a long-running task that waits without limit because the workers of
// its cell are full, although workers of another cell have free capacity.
func TestLongRunningTaskRunsInAnotherCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, n, s := transferHarness()
		defer h.close()
		is.NoErr(n.Submit(timeoutContext(time.Second), s))
		time.Sleep(maxRestartDelay)
		active, starts := h.workers.runsOf(s)
		is.Equal(active, [2]int{1, 1})
		is.Equal(starts, 2)
	})
}

// Guards against a cancelled submission whose task runs on in another cell, or is
// started there again.
func TestCancelReachesTransferredTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, n, s := transferHarness()
		defer h.close()
		is.NoErr(n.Submit(timeoutContext(time.Second), s))
		time.Sleep(maxRestartDelay)
		is.NoErr(n.Cancel(timeoutContext(time.Second), s.ID))
		time.Sleep(maxCancelTime)
		active, _ := h.workers.runsOf(s)
		is.Equal(active, [2]int{0, 0})
		time.Sleep(10 * time.Second)
		active, starts := h.workers.runsOf(s)
		is.Equal(active, [2]int{0, 0})
		is.Equal(starts, 2)
	})
}

// Guards against a transferred task that is lost or started again when both cells get
// another owner.
func TestTakeoverKeepsTransferredTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, n, s := transferHarness()
		defer h.close()
		h.startNode("vm-2", nil)
		is.NoErr(n.Submit(timeoutContext(time.Second), s))
		time.Sleep(maxRestartDelay)
		for _, vm := range []string{"vm-2", "vm-1", "vm-2"} {
			h.group.assignTo(vm)
			time.Sleep(2 * time.Second)
		}
		active, starts := h.workers.runsOf(s)
		is.Equal(active, [2]int{1, 1})
		is.Equal(starts, 2)
		is.NoErr(n.Cancel(timeoutContext(time.Second), s.ID))
		time.Sleep(maxCancelTime)
		active, _ = h.workers.runsOf(s)
		is.Equal(active, [2]int{0, 0})
	})
}

// Guards against a task that no cell has because its owner released it and then lost
// the cell before the other cell's intake had the task.
func TestSuccessorTransfersReleasedTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, n, s := transferHarness()
		defer h.close()
		h.startNode("vm-2", nil)
		h.log.update(func() { h.log.rejectTransfers = true })
		is.NoErr(n.Submit(timeoutContext(time.Second), s))
		time.Sleep(3 * time.Second)
		active, _ := h.workers.runsOf(s)
		is.Equal(active[0]+active[1], 1)
		h.group.assignTo("vm-2")
		time.Sleep(500 * time.Millisecond)
		h.log.update(func() { h.log.rejectTransfers = false })
		time.Sleep(maxRestartDelay)
		active, starts := h.workers.runsOf(s)
		is.Equal(active, [2]int{1, 1})
		is.Equal(starts, 2)
	})
}

// Guards against a batch that never completes because long-running tasks fill its cell,
// although another cell has free capacity; also if its tasks have run there when the
// cells get another owner, before they are returned.
func TestBatchRunsInAnotherCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, n, s := transferHarness()
		defer h.close()
		h.startNode("vm-2", nil)
		is.NoErr(n.Submit(timeoutContext(time.Second), s))
		time.Sleep(maxRestartDelay)
		for _, id := range []string{"watch-3", "watch-5"} {
			batch := submission(id)
			batch.Steps[0].Request.MilliCPU = 4000
			batch.Steps = append(batch.Steps, workload.Step{Tasks: 1, After: []int{0}, Request: batch.Steps[0].Request, Estimate: time.Second})
			is.NoErr(n.Submit(timeoutContext(time.Second), batch))
			if id == "watch-5" {
				time.Sleep(1800 * time.Millisecond)
				h.log.update(func() { h.log.rejectTransfers = true })
				time.Sleep(time.Second)
				h.group.assignTo("vm-2")
				time.Sleep(500 * time.Millisecond)
				h.log.update(func() { h.log.rejectTransfers = false })
			}
			time.Sleep(10 * time.Second)
			state, err := n.State(timeoutContext(time.Second), id)
			is.NoErr(err)
			is.Equal(state, workload.Completed)
			_, starts := h.workers.runsOf(batch)
			is.Equal(starts, 2)
		}
	})
}
