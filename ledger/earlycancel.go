package ledger

import (
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// maxEarlyCancels limits the early cancellations that are kept: callers may cancel any id.
const maxEarlyCancels = 10_000

// earlyCancels are the cancellations of ids that no submission has. An append without an
// answer may be carried out seconds later, so a submission can follow its cancellation.
// Until it does, callers see no submission.
type earlyCancels struct {
	ids map[string]bool
	// order may still contain ids whose submission has arrived.
	order agingIDs
}

func newEarlyCancels() earlyCancels { return earlyCancels{ids: make(map[string]bool)} }

// add keeps a cancellation. Above the limit it removes the oldest ones.
func (c *earlyCancels) add(id string) {
	if c.ids[id] {
		return
	}
	c.ids[id] = true
	c.order.add(id)
	for len(c.ids) > maxEarlyCancels {
		delete(c.ids, c.order.removeOldest())
	}
}

// take removes the cancellation of an id and reports whether there was one.
func (c *earlyCancels) take(id string) bool {
	cancelled := c.ids[id]
	delete(c.ids, id)
	return cancelled
}

// appendTo adds the early cancellations to a snapshot, as settled submissions without a
// state.
func (c *earlyCancels) appendTo(w *snapshotWriter) {
	for id := range c.ids {
		p := w.partFor(settledBytes)
		p.Settled = append(p.Settled, &ledgerpb.Settled{Id: id, State: int32(workload.Unknown)})
	}
}
