package coordinator

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/logevent"
)

// ownerCache caches the owner that opened the newest epoch of each cell, read
// from Platform.Owners. It is refreshed only when a cached owner is unknown or
// does not answer as the owner.
type ownerCache struct {
	node   *Node
	mu     sync.Mutex
	owners map[int]ledger.Owner
	// sightings are the epochs of each cell that the node has learned of.
	sightings map[int]epochSightings
	lastRead  time.Duration
	hasRead   bool
}

func (o *ownerCache) owner(cell int) ledger.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owners[cell]
}

// update stores an owner if its epoch is newer than that of the cached one.
func (o *ownerCache) update(cell int, owner ledger.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner.Epoch > o.owners[cell].Epoch {
		o.owners[cell] = owner
		o.sightings[cell] = o.sightings[cell].add(owner.Epoch, o.node.monotonicNow())
	}
}

// epochAge returns for how long, at least, an epoch of a cell has been open.
func (o *ownerCache) epochAge(cell int, epoch int64) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sightings[cell].age(epoch, o.node.monotonicNow())
}

// refresh reads all owners, at most once per ownersReadInterval.
func (o *ownerCache) refresh(ctx context.Context) {
	o.mu.Lock()
	now := o.node.monotonicNow()
	if o.hasRead && now-o.lastRead < ownersReadInterval {
		o.mu.Unlock()
		return
	}
	o.hasRead, o.lastRead = true, now
	o.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	values, err := o.node.platform.Owners.Values(call)
	o.node.metrics.countLogCall(err)
	if err != nil {
		o.node.logError(logevent.FollowFailed, err)
		return
	}
	o.node.recordStoreResponse()
	for key, value := range values {
		cell, err := strconv.Atoi(key)
		if err != nil {
			o.node.logError(logevent.BadLedgerRecord, err, zap.String("key", key))
			continue
		}
		record, err := o.node.reader.Decode(value)
		if err == nil && record.Opened == nil {
			err = errors.New("record does not name an owner")
		}
		if err != nil {
			o.node.logError(logevent.BadLedgerRecord, err, zap.String("key", key))
			continue
		}
		o.update(cell, ledger.OwnerOf(record.Opened))
	}
}

// publishOwner keeps the cell's owner in Platform.Owners until ctx is done. A write of a
// previous owner that was delayed may take effect after its own, so it looks at intervals
// whether the value is still there.
func (o *ownership) publishOwner(ctx context.Context, owner ledger.Owner) {
	data := mustEncode(ledger.OpenedRecord(owner))
	for attempt := 1; ctx.Err() == nil; attempt++ {
		if o.publishOnce(ctx, data) != nil {
			sleep(ctx, retryDelay(attempt))
			continue
		}
		attempt = 0
		for sleep(ctx, publicationCheckInterval) && !o.publicationReplaced(ctx, data) {
		}
	}
}

func (o *ownership) publishOnce(ctx context.Context, data []byte) error {
	call, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	err := o.node.platform.Owners.Put(call, strconv.Itoa(o.number), data)
	o.node.metrics.countLogCall(err)
	return err
}

// publicationReplaced reports whether another value than data is published for the cell. A
// newer owner's value is left: this ownership is about to end.
func (o *ownership) publicationReplaced(ctx context.Context, data []byte) bool {
	call, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	values, err := o.node.platform.Owners.Values(call)
	o.node.metrics.countLogCall(err)
	if err != nil {
		return false
	}
	value := values[strconv.Itoa(o.number)]
	if bytes.Equal(value, data) {
		return false
	}
	record, err := o.node.reader.Decode(value)
	if errors.Is(err, ledger.ErrUnknownFormat) {
		// A node of a later version has published itself.
		return false
	}
	return err != nil || record.Opened == nil || record.Opened.Epoch < o.epoch
}
