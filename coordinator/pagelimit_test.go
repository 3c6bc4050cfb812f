package coordinator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a node that never owns a cell without a snapshot, because no page of the
// cell's records arrives within the timeout of a read.
func TestCellIsOpenedThoughPagesArriveSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		record, err := ledger.Encode(ledger.OpenedRecord(ledger.Owner{Epoch: 1, VM: "z"}))
		is.NoErr(err)
		const records = 6000
		stream := coordinator.Stream{Topic: coordinator.CellTopic}
		h.log.update(func() {
			for range records {
				h.log.streams[stream] = append(h.log.streams[stream], record)
			}
			h.log.recordTime = time.Millisecond
		})
		h.group.assignTo("a")
		a := h.startNode("a", nil)
		// The records take 6 s. Pages of 4096, 2048 and 1024 records time out before.
		time.Sleep(records*time.Millisecond + 5*time.Second)
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("s")))
		time.Sleep(2 * time.Second)
		state, err := a.State(timeoutContext(time.Second), "s")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
	})
}
