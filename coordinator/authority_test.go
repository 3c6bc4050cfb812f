package coordinator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against an owner that acts on a permission that ran out while its VM was
// suspended: another node may have taken its cells over. The monotonic clock does not
// count that time.
func TestSuspendedOwnerSendsNoCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		h.group.assignTo("a")
		unreachable := false
		a := h.startNode("a", &unreachable)
		time.Sleep(2 * time.Second)
		h.group.update(func() { unreachable = true })
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("before")))
		time.Sleep(time.Second)
		started := h.worker.startedTasks()
		is.Equal(started, 2) // within its authority the owner goes on without joins
		h.suspended.Store(int64(12 * time.Second))
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("after")))
		time.Sleep(2 * time.Second)
		is.Equal(h.worker.startedTasks(), started)
		h.group.update(func() { unreachable = false })
		time.Sleep(3 * time.Second)
		is.Equal(h.worker.startedTasks(), started+2)
	})
}
