package coordinator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/logevent"
)

// maxFirstSequence limits the first sequence number of an epoch, so that all later ones can be
// represented in a float64 too.
const maxFirstSequence = 1 << 52

// maxOpeningAppends is how often the record of an attempt to open an epoch is appended while its
// outcome is unknown.
const maxOpeningAppends = 3

var (
	errUnassigned = errors.New("cell is no longer assigned")
	// errContested means that another node has opened an epoch of the cell meanwhile.
	errContested = errors.New("another node has opened an epoch of the cell")
)

// opening is an attempt to open an epoch.
type opening struct {
	epoch int64
	// generation is that of the group in which the cell was assigned to this node when the
	// attempt began.
	generation int64
	// sequence is the sequence number of the Opened record. It is random, because two nodes can
	// attempt to open one epoch, and the log must not answer the second one as a repeat of the first.
	sequence int64
	// previous is the owner of the epoch before.
	previous predecessor
	// mayBeStored: the outcome of an append of the record is unknown.
	mayBeStored bool
	// taken: another node has opened the epoch, or a later one.
	taken bool
}

// openEpoch reads the streams and fences previous owners with an Opened record. The record is
// appended only at the end that was read, so no unread record of a previous owner can precede
// it. Of several nodes that attempt to open one epoch the log accepts one.
//
// An attempt that began while the cell was assigned to this node goes on without the assignment,
// unless another node acts as the owner: a cell that is dealt anew faster than it can be read
// would have no owner otherwise.
func (c *cell) openEpoch(ctx context.Context, times *takeoverTimes) (*opening, error) {
	// asked is the newest epoch whose owner has been requested to resign, and has.
	asked := int64(0)
	// known is the newest epoch when the last attempt was made, or 0.
	known := int64(0)
	// generation is read once an attempt: it may become 0 at any time.
	generation := c.generation.Load()
	for attempt := 1; generation != 0; attempt++ {
		if err := c.catchUp(ctx); err != nil {
			return nil, fmt.Errorf("read the streams: %w", err)
		}
		times.readAt = c.node.monotonicNow()
		previous := predecessor{c.ledger().Owner(), c.ledger().Witnesses()}
		if known != 0 && previous.Epoch != known {
			return nil, errContested
		}
		known = previous.Epoch
		o := c.newOpening(generation, previous)
		err := c.appendUntilKnown(ctx, o)
		switch {
		case errors.Is(err, ErrOffsetMismatch):
			// The previous owner goes on, or the read lagged behind the stream's end.
			if generation = c.generation.Load(); generation == 0 {
				return nil, errUnassigned
			}
			if previous.Epoch > asked && c.askToResign(ctx, previous.Owner) {
				asked = previous.Epoch
			} else {
				sleep(ctx, retryDelay(attempt))
			}
		case o.taken:
			return nil, errContested
		case err != nil:
			return nil, fmt.Errorf("append the Opened record: %w", err)
		default:
			times.openedAt = c.node.monotonicNow()
			return o, nil
		}
	}
	return nil, errUnassigned
}

// newOpening returns the attempt to open the epoch after a previous owner's. An attempt for the
// same epoch as the last one repeats it.
func (c *cell) newOpening(generation int64, previous predecessor) *opening {
	last := c.lastOpening
	// A lagging read doesn't show an epoch that this process has opened, or found taken.
	epoch := max(generation, previous.Epoch+1, c.newestEpoch.Load()+1)
	if last != nil && last.taken {
		epoch = max(epoch, last.epoch+1)
	}
	o := &opening{epoch: epoch, generation: generation, sequence: 1 + rand.Int64N(maxFirstSequence), previous: previous}
	if last != nil && last.epoch == epoch {
		o.sequence, o.mayBeStored = last.sequence, last.mayBeStored
	}
	c.lastOpening = o
	c.openingEpoch.Store(epoch)
	c.firstEpoch.CompareAndSwap(0, epoch)
	return o
}

// appendUntilKnown appends the Opened record of an attempt, and repeats that while its outcome is
// unknown: the log answers the repeat of an append that took effect like the append itself. A node
// that reads its own record instead takes it for that of an owner which nobody can ask.
func (c *cell) appendUntilKnown(ctx context.Context, o *opening) error {
	for attempt := 1; ; attempt++ {
		err := c.appendOpened(ctx, o)
		if err == nil || o.taken || hadNoEffect(err) || attempt == maxOpeningAppends || !sleep(ctx, retryDelay(attempt)) {
			return err
		}
	}
}

// appendOpened appends the Opened record of an attempt at the end that was read, and applies it.
func (c *cell) appendOpened(ctx context.Context, o *opening) error {
	owner := ledger.Owner{Epoch: o.epoch, VM: c.node.config.VM, PeerAddress: c.node.config.PeerAddress}
	record := ledger.OpenedRecord(owner)
	data, err := ledger.Encode(record)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	sent := c.node.authorityNow()
	end, err := c.node.platform.Log.Append(call, c.cellStream(), [][]byte{data}, &Fence{Epoch: o.epoch, Sequence: o.sequence, ExpectedEnd: c.cellNext})
	c.node.metrics.countLogCall(err)
	if err != nil {
		o.mayBeStored = o.mayBeStored || !hadNoEffect(err)
		o.taken = errors.Is(err, ErrFenced) || errors.Is(err, ErrOutOfSequence)
		return err
	}
	if end != c.cellNext+1 {
		c.reportMisplaced(o.epoch, c.cellNext+1, end)
		o.taken = true
		return errContested
	}
	if !o.mayBeStored {
		c.authority.proven(sent)
	}
	c.ledger().Apply(record)
	c.cellNext = end
	c.node.owners.update(c.number, owner)
	return nil
}

// hadNoEffect reports whether an error of an append means that it had no effect.
func hadNoEffect(err error) bool {
	return errors.Is(err, ErrNoEffect) || errors.Is(err, ErrFenced) || errors.Is(err, ErrOffsetMismatch) || errors.Is(err, ErrOutOfSequence)
}

// epochNotOpened handles an error of openEpoch.
func (c *cell) epochNotOpened(ctx context.Context, err error) {
	c.openingEpoch.Store(0)
	switch {
	case isRefusal(err):
		c.refuse(err)
	case ctx.Err() != nil:
	case errors.Is(err, errContested):
		c.node.logger.Log(logevent.EpochContested, zap.Int("cell", c.number), zap.Int64("epoch", c.lastOpening.epoch))
		c.contest()
	default:
		c.node.logError(logevent.EpochNotOpened, err, zap.Int("cell", c.number))
		sleep(ctx, logRetryDelay)
	}
}

// beginOwning ends an attempt that has opened an epoch. Whoever asks sees one of the two at any time.
func (c *cell) beginOwning() {
	c.owning.Store(true)
	c.openingEpoch.Store(0)
}

// contest makes the node open no epoch of the cell until a join that is sent from now on has
// assigned the cell to it again, and asks for that join: the other node may have been assigned
// the cell since the last one.
func (c *cell) contest() {
	c.authority.contest(c.node.authorityNow())
	signal(c.node.joinRequests)
}

// mayOpen reports whether the cell is assigned to this node, as far as it can know.
func (c *cell) mayOpen() bool { return c.generation.Load() != 0 && !c.authority.isContested() }
