package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/workload"
)

// harness runs nodes that share a fake log, group and worker, in the virtual time of
// package synctest.
type harness struct {
	log    *fakeLog
	group  *fakeGroup
	worker *fakeWorker
	// workers, if not nil, are used instead of worker.
	workers fakeWorkers
	stops   []func()
	// formats are the formats that VMs read, if not that of this version.
	formats map[string]int32
	// logger, if not nil, is that of all nodes.
	logger *logevent.Logger
	// logRetention is how long the log keeps records, as the nodes are told.
	logRetention time.Duration
	// suspended is the time for which the nodes' VMs have been suspended.
	suspended atomic.Int64
}

func newHarness() *harness {
	return &harness{log: newFakeLog(), group: &fakeGroup{}, worker: newFakeWorker()}
}

func (h *harness) startNode(vm string, unreachable *bool) *coordinator.Node {
	return h.start(vm, unreachable, 0)
}

func (h *harness) startReserveNode(vm string) *coordinator.Node { return h.start(vm, nil, 1) }

func (h *harness) start(vm string, unreachable *bool, reserveLevel int) *coordinator.Node {
	startedAt := time.Now()
	n := coordinator.NewNode(coordinator.Config{
		SuspendClock: func() time.Duration { return time.Since(startedAt) + time.Duration(h.suspended.Load()) },
		VM:           vm, LogRetention: h.logRetention, Cells: max(1, h.group.cells), ReserveLevel: reserveLevel, Dispatch: dispatch.Config{Lease: 5 * time.Second, HandoverLease: 10 * time.Second, HeartbeatWait: time.Second, RemoteFactor: 2},
	}, h.platform(member{h.group, vm, unreachable}), h.logger, coordinator.NewMetrics())
	if format := h.formats[vm]; format != 0 {
		n.SetFormat(format)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		n.Run(ctx)
		close(done)
	}()
	h.stops = append(h.stops, func() { cancel(); <-done })
	return n
}

func (h *harness) platform(group coordinator.Group) coordinator.Platform {
	p := coordinator.Platform{
		Log: h.log, Owners: h.log, Snapshots: h.log, Group: group, WorkerClient: h.worker, Directory: h.worker, Declarations: fakeDeclarations{},
	}
	if h.workers != nil {
		p.WorkerClient, p.Directory = h.workers, h.workers
	}
	return p
}

func (h *harness) close() {
	for _, stop := range h.stops {
		stop()
	}
}

func submission(id string) *workload.Submission {
	return &workload.Submission{
		ID: id, Queue: "q", AcceptedAt: time.Now(),
		Steps:  []workload.Step{{Tasks: 2, Request: hostapi.Resources{MilliCPU: 1000, MemoryMiB: 1}, Estimate: time.Second}},
		Policy: workload.Policy{Service: "register", MaxAttempts: 2, SlackFactor: 1},
	}
}

func timeoutContext(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// Guards against a fault anywhere in the life of a submission: it is accepted by a
// node that does not own the cell, run by the owner, and reported as completed by
// both.
func TestSubmissionCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		h.group.assignTo("a")
		a, b := h.startNode("a", nil), h.startNode("b", nil)
		time.Sleep(2 * time.Second)
		is.True(a.Ready() && b.Ready())
		is.NoErr(b.Submit(timeoutContext(3*time.Second), submission("s")))
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("s")))
		time.Sleep(5 * time.Second)
		for _, n := range []*coordinator.Node{a, b} {
			state, err := n.State(timeoutContext(time.Second), "s")
			is.NoErr(err)
			is.Equal(state, workload.Completed)
		}
		for _, starts := range h.worker.starts {
			is.Equal(starts, 1)
		}
	})
}

// Guards against ErrNoSubmission for a submission that another node accepted, from
// a node whose reads lag behind the log's end.
func TestUnknownSubmissionOnlyAfterLogEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		a, b := h.startNode("a", nil), h.startNode("b", nil)
		time.Sleep(2 * time.Second)
		h.log.update(func() { h.log.hiddenRecords = 1 })
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("s")))
		_, err := b.State(timeoutContext(2*time.Second), "s")
		is.True(errors.Is(err, coordinator.ErrUnavailable))
		h.log.update(func() { h.log.hiddenRecords = 0 })
		_, err = b.State(timeoutContext(2*time.Second), "s")
		is.NoErr(err)
		_, err = b.State(timeoutContext(2*time.Second), "other")
		is.True(errors.Is(err, coordinator.ErrNoSubmission))
	})
}

// Guards against ErrUnavailable after an append whose response was lost: the
// submission may be in the log and run.
func TestLostAppendResponseMeansOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		a := h.startNode("a", nil)
		time.Sleep(time.Second)
		h.log.update(func() { h.log.appendErr, h.log.appliesBeforeErr = errors.New("answer lost"), true })
		err := a.Submit(timeoutContext(2*time.Second), submission("s"))
		is.True(errors.Is(err, coordinator.ErrOutcomeUnknown))
		h.log.update(func() { h.log.appendErr, h.log.appliesBeforeErr = coordinator.ErrNoEffect, false })
		began := time.Now()
		err = a.Submit(timeoutContext(2*time.Second), submission("r"))
		is.True(errors.Is(err, coordinator.ErrUnavailable))
		is.True(time.Since(began) < 2*time.Second)
		h.log.update(func() { h.log.appendErr = nil })
		h.group.assignTo("a")
		time.Sleep(5 * time.Second)
		state, err := a.State(timeoutContext(time.Second), "s")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
	})
}

// Guards against an owner that keeps its cell for ever after it has lost contact
// with the group, and against one that releases it at the first lost join.
func TestOwnershipDuringGroupOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		unreachable := false
		h.group.assignTo("a")
		a := h.startNode("a", &unreachable)
		time.Sleep(2 * time.Second)
		h.group.update(func() { unreachable = true })
		time.Sleep(3 * time.Second)
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("s")))
		time.Sleep(4 * time.Second)
		state, err := a.State(timeoutContext(time.Second), "s")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
		time.Sleep(10 * time.Second)
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("late")))
		time.Sleep(4 * time.Second)
		state, err = a.State(timeoutContext(time.Second), "late")
		is.NoErr(err)
		is.Equal(state, workload.Queued)
	})
}

// Guards against a cancelled submission that continues to run, and against success
// reported for the cancellation of an unknown submission.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		h.group.assignTo("a")
		a := h.startNode("a", nil)
		time.Sleep(2 * time.Second)
		is.True(errors.Is(a.Cancel(timeoutContext(2*time.Second), "none"), coordinator.ErrNoSubmission))
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("s")))
		time.Sleep(300 * time.Millisecond)
		is.NoErr(a.Cancel(timeoutContext(2*time.Second), "s"))
		time.Sleep(300 * time.Millisecond)
		h.worker.mu.Lock()
		is.Equal(len(h.worker.runs), 0)
		h.worker.mu.Unlock()
		state, err := a.State(timeoutContext(time.Second), "s")
		is.NoErr(err)
		is.Equal(state, workload.Cancelled)
	})
}

// Guards against a node in reserve that owns cells while regular nodes do, and
// against cells without an owner when no regular node is left.
func TestReserveNodeOwnsCellsOnlyAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		h.group.nonReserveOwner = true
		h.group.assignTo("small")
		n := h.startReserveNode("small")
		time.Sleep(5 * time.Second)
		is.Equal(h.group.joins["small"], 0)
		is.True(n.Ready())
		h.group.update(func() { h.group.nonReserveOwner = false })
		time.Sleep(5 * time.Second)
		is.NoErr(n.Submit(timeoutContext(3*time.Second), submission("s")))
		time.Sleep(4 * time.Second)
		state, err := n.State(timeoutContext(time.Second), "s")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
	})
}

// Guards against concurrent reads of the list of workers by the cells of one node:
// WorkerDirectory does not allow them, and each read has a cost.
func TestCellsShareTheWorkerList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		h.group.cells = 3
		h.group.assignTo("a")
		a := h.startNode("a", nil)
		time.Sleep(2 * time.Second)
		for i := range 6 {
			is.NoErr(a.Submit(timeoutContext(3*time.Second), submission(fmt.Sprint(i))))
		}
		time.Sleep(5 * time.Second)
		h.worker.mu.Lock()
		is.Equal(h.worker.maxListCalls, 1)
		h.worker.mu.Unlock()
		completed := 0
		for i := range 6 {
			if state, err := a.State(timeoutContext(time.Second), fmt.Sprint(i)); err == nil && state == workload.Completed {
				completed++
			}
		}
		is.True(completed > 0) // those of the worker's cell
	})
}

// Guards against a state dump that hangs, or lacks the machine of an owned cell.
func TestDump(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		h.group.assignTo("a")
		a, b := h.startNode("a", nil), h.startNode("b", nil)
		time.Sleep(2 * time.Second)
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("s")))
		time.Sleep(300 * time.Millisecond)
		d := a.Dump(timeoutContext(time.Second))
		is.True(d.Ready)
		is.True(d.Cells[0].Owned)
		is.Equal(d.Cells[0].Machine.Workers.Listed, 1)
		is.Equal(d.Cells[0].Machine.Runs["running"], 2)
		is.True(b.Dump(timeoutContext(time.Second)).Cells[0].Machine == nil)
	})
}
