package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/ledger"
)

// Guards against an owner that writes a snapshot of several appends in a form that a node which
// may succeed it doesn't find, and against one that goes on writing two forms for nodes that are
// gone.
func TestSnapshotsAreWrittenInAFormThatAllNodesFind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(1, newFakeWorkers("*", "w1"), "vm-0", "vm-1")
		defer c.close()
		c.log.update(func() { c.log.snapshotAppends = 2 })
		// formsOf makes the owner save for a time, while a node calls, and counts the forms.
		formsOf := func(seconds int, q *coordpb.AwaitEndRequest) map[coordinator.SnapshotForm]int {
			c.log.update(func() { c.log.forms = nil })
			for i := range seconds {
				if q != nil && i%5 == 0 {
					go func() { _, _ = c.nodes["vm-0"].AwaitEnd(context.Background(), q) }()
				}
				is.NoErr(c.nodes["vm-0"].Submit(timeoutContext(time.Second), submission(time.Now().String())))
				time.Sleep(time.Second)
			}
			counts := make(map[coordinator.SnapshotForm]int)
			c.log.update(func() {
				for _, f := range c.log.forms {
					counts[f]++
				}
			})
			return counts
		}
		only := func(form coordinator.SnapshotForm, counts map[coordinator.SnapshotForm]int) {
			is.Equal(len(counts), 1)
			is.True(counts[form] >= 3)
		}
		// The older form is kept beside the newest one between two snapshots that have it.
		withOlder := func(counts map[coordinator.SnapshotForm]int) {
			is.Equal(counts[coordinator.NewestForm], 0)
			is.True(counts[coordinator.WriteOlderForm] >= 3)
		}
		is.Equal(formsOf(30, nil)[coordinator.WriteOlderForm], 0)
		only(coordinator.NewestForm, formsOf(100, nil))
		older := &coordpb.AwaitEndRequest{WaitMs: 5000, Vm: "old", PeerAddress: "old", Process: 5}
		withOlder(formsOf(100, older))
		is.True(formsOf(100, nil)[coordinator.NewestForm] >= 1) // A minute after its last call.
		only(coordinator.NewestForm, formsOf(100, nil))
		older.Reads = ledger.Format
		only(coordinator.NewestForm, formsOf(100, older))
		unnamed := &coordpb.AwaitEndRequest{WaitMs: 5000}
		withOlder(formsOf(100, unnamed))
	})
}
