package coordinator

import (
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
		record, err := ledger.Decode(value)
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

// publishOwner writes the cell's owner into Platform.Owners. It retries until it
// succeeds or ctx is done.
func (o *ownership) publishOwner(ctx context.Context, owner ledger.Owner) {
	data := mustEncode(ledger.OpenedRecord(owner))
	for attempt := 1; ctx.Err() == nil; attempt++ {
		call, cancel := context.WithTimeout(ctx, logTimeout)
		err := o.node.platform.Owners.Put(call, strconv.Itoa(o.number), data)
		cancel()
		o.node.metrics.countLogCall(err)
		if err == nil {
			return
		}
		sleep(ctx, retryDelay(attempt))
	}
}
