package coordinator

import (
	"context"
	"testing"
)

// Guards against a task that runs twice: at the end of an ownership the event loop takes the second of
// two stored batches without the first one, so the node's ledger skips records that are in the log.
func TestEndOfOwnershipSkipsNoStoredBatch(t *testing.T) {
	const trials = 2000
	skipped := 0
	for range trials {
		ctx, cancel := context.WithCancel(t.Context())
		o := ownershipOf(1, cancel)
		close(o.writer.last.posted)
		var batches []*cellBatch
		for id := int64(1); id <= 2; id++ {
			b := newCellBatch(1+id, 1+id, o.writer.last)
			b.records, b.appendIDs = [][]byte{nil}, []int64{id}
			o.writer.last = b
			batches = append(batches, b)
		}
		// Both batches are in the log and answered; a worker, the log or the owners' topic then names a newer epoch.
		cancel()
		for _, b := range batches {
			o.writer.post(ctx, b)
		}
		withoutFirst := len(o.events) == 1 && firstEnd(o) == 3
		o.eventLoop(ctx)
		if withoutFirst && o.cellNext == 3 {
			skipped++
		}
	}
	if skipped > 0 {
		t.Errorf("in %d of %d ends the next read begins at offset 3, and the record of offset 1 was not applied", skipped, trials)
	}
}

// firstEnd returns the end of the batch that the oldest queued event reports.
func firstEnd(o *ownership) int64 {
	ev := <-o.events
	o.events <- ev
	return ev.event.(batchAppended).end
}
