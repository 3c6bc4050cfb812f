package coordinator_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against an owner that learns of no submission any more, because no page of its intake
// arrives within the timeout of a read.
func TestOwnerReadsItsIntakeThoughPagesArriveSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		h.group.assignTo("a")
		a := h.startNode("a", nil)
		time.Sleep(2 * time.Second)
		const records = 300
		stream := coordinator.Stream{Topic: "intake"}
		h.log.update(func() {
			for i := range records {
				record, err := ledger.Encode(ledger.SubmittedRecord(submission(fmt.Sprintf("s%03d", i))))
				is.NoErr(err)
				h.log.streams[stream] = append(h.log.streams[stream], record)
			}
			h.log.recordTime = 10 * time.Millisecond
		})
		// The records take 3 s. Pages of 256 records time out before.
		time.Sleep(records*10*time.Millisecond + 10*time.Second)
		_, err := a.State(timeoutContext(time.Second), fmt.Sprintf("s%03d", records-1))
		is.NoErr(err)
		state, err := a.State(timeoutContext(time.Second), "s000")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
	})
}
