package ledger

import (
	"strings"

	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// maxEarlyCancels limits the early cancellations that are kept: callers may cancel any id.
const maxEarlyCancels = 10_000

// earlyCancels are the cancellations of ids that no submission has. An append without an
// answer may be carried out seconds later, so a submission can follow its cancellation.
// Until it does, callers see no submission.
type earlyCancels struct {
	// keys are those of ids and queues.
	keys map[string]bool
	// order may still contain keys whose submission has arrived.
	order agingIDs
}

func newEarlyCancels() earlyCancels { return earlyCancels{keys: make(map[string]bool)} }

// keySeparator separates the id and the queue's name in a key. Ids don't contain it.
const keySeparator = "\x00"

// cancelKey returns the key of an id at a queue, or at any queue if the name is "".
func cancelKey(id, queue string) string { return id + keySeparator + queue }

// add keeps a cancellation. Above the limit it removes the oldest ones.
func (c *earlyCancels) add(id, queue string) {
	key := cancelKey(id, queue)
	if c.keys[key] {
		return
	}
	c.keys[key] = true
	c.order.add(key)
	for len(c.keys) > maxEarlyCancels {
		c.remove(c.order.removeOldest())
	}
}

func (c *earlyCancels) remove(key string) { delete(c.keys, key) }

// take removes the cancellations of a submission and reports whether there was one.
func (c *earlyCancels) take(id, queue string) bool {
	cancelled := false
	for _, key := range [...]string{cancelKey(id, queue), cancelKey(id, "")} {
		cancelled = cancelled || c.keys[key]
		c.remove(key)
	}
	return cancelled
}

// appendTo adds the early cancellations to a snapshot, as settled submissions without a
// state.
func (c *earlyCancels) appendTo(w *snapshotWriter) {
	for key := range c.keys {
		id, queue, _ := strings.Cut(key, keySeparator)
		w.addSettled(&ledgerpb.Settled{Id: id, State: int32(workload.Unknown), Queue: queue})
	}
}
