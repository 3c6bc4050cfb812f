package coordinator

import (
	"context"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/logevent"
)

// owners knows who opened the newest epoch of each cell, as the register says.
// A node reads the register only when what it knows does not help.
type owners struct {
	node   *Node
	mu     sync.Mutex
	known  map[int]ledger.Owner
	readAt time.Duration
	read   bool
}

// of returns the owner of a cell.
func (o *owners) of(cell int) ledger.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.known[cell]
}

// note takes an owner that is known otherwise.
func (o *owners) note(cell int, owner ledger.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner.Epoch > o.known[cell].Epoch {
		o.known[cell] = owner
	}
}

// refresh reads the register, unless it was read a moment ago.
func (o *owners) refresh(ctx context.Context) {
	o.mu.Lock()
	now := o.node.now()
	if o.read && now-o.readAt < ownersInterval {
		o.mu.Unlock()
		return
	}
	o.read, o.readAt = true, now
	o.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	values, err := o.node.platform.Register.Values(call)
	o.node.meters.logCall(err)
	if err != nil {
		o.node.logError(logevent.FollowFailed, err)
		return
	}
	o.node.storeAnswered()
	for key, value := range values {
		cell, err := strconv.Atoi(key)
		if err != nil {
			o.node.logError(logevent.BadLedgerRecord, err, zap.String("key", key))
			continue
		}
		record, err := ledger.Decode(value)
		if err != nil || record.Opened == nil {
			o.node.logError(logevent.BadLedgerRecord, err, zap.String("key", key))
			continue
		}
		o.note(cell, ledger.OwnerOf(record.Opened))
	}
}

// announce writes this node's ownership into the register until that is done.
func (o *ownership) announce(ctx context.Context, owner ledger.Owner) {
	data := mustEncode(ledger.OpenedRecord(owner))
	for attempt := 1; ctx.Err() == nil; attempt++ {
		call, cancel := context.WithTimeout(ctx, logTimeout)
		err := o.node.platform.Register.Put(call, strconv.Itoa(o.number), data)
		cancel()
		o.node.meters.logCall(err)
		if err == nil {
			return
		}
		pause(ctx, retryPause(attempt))
	}
}
