package coordinator_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a takeover after which a task that is running or done is started
// again.
func TestTakeoverStartsNoTaskTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		h.group.assignTo("a")
		a := h.startNode("a", nil)
		h.startNode("b", nil)
		time.Sleep(2 * time.Second)
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("s")))
		time.Sleep(300 * time.Millisecond)
		for _, vm := range []string{"b", "a", "b"} {
			h.group.assignTo(vm)
			time.Sleep(400 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		state, err := a.State(timeoutContext(time.Second), "s")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
		for _, starts := range h.worker.starts {
			is.Equal(starts, 1)
		}
	})
}

// Guards against a successor whose reads of the intake lag behind its end: the
// previous owner's records about newer submissions would be lost, and their tasks
// would run again.
func TestTakeoverReadsTheWholeIntake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		h.group.assignTo("a")
		a := h.startNode("a", nil)
		time.Sleep(2 * time.Second)
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("s")))
		time.Sleep(2 * time.Second)
		h.log.update(func() { h.log.hiddenRecords = 1 })
		b := h.startNode("b", nil)
		h.group.assignTo("b")
		time.Sleep(2 * time.Second)
		h.log.update(func() { h.log.hiddenRecords = 0 })
		time.Sleep(5 * time.Second)
		state, err := b.State(timeoutContext(time.Second), "s")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
		for _, starts := range h.worker.starts {
			is.Equal(starts, 1)
		}
	})
}

// Guards against a successor that lacks the state from expired log records: a
// final state, a task that is done, a run that continues.
func TestTakeoverFromASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		h.group.assignTo("a")
		a := h.startNode("a", nil)
		time.Sleep(2 * time.Second)
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("old")))
		long := submission("long")
		long.Steps[0].LongRunning = true
		h.worker.update(func() { h.worker.endlessSubmission = "long" })
		is.NoErr(a.Submit(timeoutContext(3*time.Second), long))
		time.Sleep(35 * time.Second)
		h.log.update(func() { h.log.logStart = int64(len(h.log.streams[coordinator.Stream{Topic: "intake"}])) })
		b := h.startNode("b", nil)
		h.group.assignTo("b")
		time.Sleep(5 * time.Second)
		state, err := b.State(timeoutContext(time.Second), "old")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
		state, err = b.State(timeoutContext(time.Second), "long")
		is.NoErr(err)
		is.Equal(state, workload.Running)
		for _, starts := range h.worker.starts {
			is.Equal(starts, 1)
		}
	})
}

// Guards against a node that the store rejects and that continues to try to open
// an epoch for a cell that may since have been assigned to another node.
func TestNoEpochOpenedWithoutValidAssignment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		unreachable := false
		h.group.assignTo("a")
		a := h.startNode("a", &unreachable)
		time.Sleep(2 * time.Second)
		h.group.update(func() { unreachable = true })
		h.log.update(func() { h.log.appendsTo(cellStream).epoch = 1000 })
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("s")))
		time.Sleep(3 * time.Second)
		h.log.update(func() { h.log.cellReads = 0 })
		time.Sleep(4 * time.Second)
		h.log.mu.Lock()
		is.Equal(h.log.cellReads, 0)
		h.log.mu.Unlock()
	})
}

// Guards against a node that loses records of the cell stream when it reads the
// streams for a caller while its read of the intake lags behind, and later owns
// the cell without them.
func TestReaderKeepsRecordsOfUnseenSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		h.group.assignTo("a")
		a, b := h.startNode("a", nil), h.startNode("b", nil)
		time.Sleep(2 * time.Second)
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("s")))
		time.Sleep(3 * time.Second)
		// A snapshot would hold the submission.
		h.log.update(func() { h.log.hiddenRecords, h.log.loadErr = 1, errors.New("no answer") })
		_, err := b.State(timeoutContext(2*time.Second), "s")
		is.True(errors.Is(err, coordinator.ErrUnavailable))
		h.log.update(func() { h.log.hiddenRecords, h.log.loadErr = 0, nil })
		h.group.assignTo("b")
		time.Sleep(5 * time.Second)
		state, err := b.State(timeoutContext(time.Second), "s")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
		for _, starts := range h.worker.starts {
			is.Equal(starts, 1)
		}
	})
}

// Guards against runs whose leases expire because the store is away when their owner
// gives the cell up, so that its successor can't take it over in time.
func TestRunsOutlastATakeoverWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		h.worker.endlessSubmission = "s"
		h.group.assignTo("a")
		a := h.startNode("a", nil)
		h.startNode("b", nil)
		time.Sleep(2 * time.Second)
		s := submission("s")
		s.Steps[0].LongRunning = true
		is.NoErr(a.Submit(timeoutContext(3*time.Second), s))
		time.Sleep(2 * time.Second)
		h.log.update(func() { h.log.appendErr = coordinator.ErrNoEffect })
		h.group.assignTo("b")
		time.Sleep(7 * time.Second)
		h.log.update(func() { h.log.appendErr = nil })
		time.Sleep(10 * time.Second)
		is.Equal(len(h.worker.runs), 2)
		for _, starts := range h.worker.starts {
			is.Equal(starts, 1)
		}
	})
}

// Guards against an owner that other nodes can't find: a publication of its predecessor was
// delayed and took effect after its own.
func TestOwnerReplacesALatePublicationOfItsPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(1, newFakeWorkers("*", "w1"), "vm-0", "vm-1")
		defer c.close()
		published := func() []byte {
			values, err := c.log.Values(context.Background())
			is.NoErr(err)
			return values["0"]
		}
		late := published()
		c.group.assign(0, "vm-1")
		time.Sleep(2 * time.Second)
		is.NoErr(c.log.Put(context.Background(), "0", late))
		time.Sleep(6 * time.Second)
		record, err := ledger.Decode(published())
		is.NoErr(err)
		is.Equal(record.Opened.Vm, "vm-1")
	})
}
