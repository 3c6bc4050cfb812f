package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/witness"
)

// Topics of the cells' streams; the partition is the cell's number.
const (
	intakeTopic = "intake"
	// CellTopic is the topic whose partitions the group distributes.
	CellTopic = "cells"
)

// cell is a node's view of one cell. The node owns the cell while the cell is
// assigned to it. Otherwise the node queries the cell's owner, and reads the
// streams only if no owner answers: on a large deployment, not all nodes can read
// all streams after a simultaneous restart.
type cell struct {
	node   *Node
	number int
	// state is the ledger. It is replaced when a panic may have left it inconsistent.
	state atomic.Pointer[ledger.Ledger]
	// intakeNext and cellNext are the offsets of the records to apply next.
	intakeNext int64
	cellNext   int64
	// unapplied holds records of the cell stream from cellNext on. They are applied
	// after the intake records that they refer to.
	unapplied [][]byte
	// cellPages and intakePages limit the pages that are read of the streams.
	cellPages, intakePages pageLimit
	// caughtUpAt is when both streams were last read to their ends.
	caughtUpAt time.Duration
	// snapshotReadAt is when a snapshot was last read, or found incomplete.
	snapshotReadAt time.Duration
	// snapshotErr is the error of the last attempt to read the snapshots, snapshotFailures the
	// number of attempts in a row that loaded none.
	snapshotErr      error
	snapshotFailures int
	// snapshotNext is the offset in the cell stream up to which the last applied snapshot covers it,
	// expiredRecords the number of records of that stream that had expired before they were read.
	snapshotNext   int64
	expiredRecords int64
	// unreadable is the error of a record that this version doesn't read, until it is applied
	// or a snapshot has it.
	unreadable error
	// refusal says that this node can't read the cell's state.
	refusal atomic.Pointer[refusal]
	// intakeKnownAt is the time up to which the intake's records were applied then.
	intakeKnownAt time.Duration
	// generation is the generation of the group in which the cell is assigned to
	// this node, or 0 if it is not.
	generation atomic.Int64
	// assignedAt is when the cell was last assigned to this node after it had not been, in
	// nanoseconds of the node's monotonic clock.
	assignedAt atomic.Int64
	// wake wakes the cell's goroutine after a change of generation or
	// resignedEpoch.
	wake chan struct{}
	// lastOpening is this process's last attempt to open an epoch, or nil. openingEpoch is its epoch
	// until the attempt has failed or the ownership has begun, and 0 otherwise.
	lastOpening  *opening
	openingEpoch atomic.Int64
	// refreshRequests receives requests to read the streams.
	refreshRequests chan chan refreshResult
	// dumpRequests receives requests for the state of the owner's machine.
	dumpRequests chan chan dispatch.Dump
	// capacityRequests receives queries for the free capacity of the cell's workers.
	capacityRequests chan capacityRequest
	// lastSweep is when final submissions were last removed.
	lastSweep time.Duration
	// owning reports whether this node owns the cell.
	owning atomic.Bool
	// intakeReadAt is when the owner sent its last read that reached the intake's end and
	// has been applied, in nanoseconds of the node's monotonic clock.
	intakeReadAt atomic.Int64
	// newestEpoch is the newest epoch that this node opened, resignedEpoch the
	// highest epoch that it was requested to end.
	newestEpoch atomic.Int64
	// firstEpoch is the first epoch that this process tried to open, or 0.
	firstEpoch    atomic.Int64
	resignedEpoch atomic.Int64
	// authority is this node's permission to send commands for the cell.
	authority cellAuthority
	// lastLeases are the leases at the end of this node's last ownership.
	lastLeases atomic.Pointer[grantedLeases]
	// ended is closed at the end of the ownership that owning reports.
	ended atomic.Pointer[chan struct{}]
	// knownEnd is the newest end of another node's ownership that this node was told of.
	knownEnd atomic.Pointer[ownershipEnd]
	// knownEnds are ends of runs that may not be in the log.
	knownEnds knownEnds
	// candidates can be witnesses of this node's ownership, witnesses are those that are.
	candidates candidates
	witnesses  atomic.Pointer[witness.Owner]
	// members are the nodes that may succeed this one.
	members members
	// confirmations are those of this process as a witness of other owners.
	confirmations *witness.Confirmations
	// recentlyAccepted maps the ids of submissions that this node accepted, but
	// has not yet read from the intake, to their acceptance.
	recentlyAccepted sync.Map
	// notifications holds intake records that other nodes or this one appended.
	notifications chan notification
	intakeWriter  *intakeWriter
	// senders are the nodes that append records to the intake, as the owner knows them.
	senders senders
	// outlooks are what submissions can expect, attempts those that this node remembers.
	outlooks outlooks
	attempts attempts
	// evacuation receives a signal when the set of evacuated data centres changes.
	evacuation chan struct{}
}

func newCell(n *Node, number int) *cell {
	c := &cell{
		node: n, number: number,
		cellPages: newPageLimit(cellPageRecords), intakePages: newPageLimit(intakePageRecords),
		confirmations:    witness.NewConfirmations(n.process, n.monotonicNow()),
		wake:             make(chan struct{}, 1),
		refreshRequests:  make(chan chan refreshResult),
		dumpRequests:     make(chan chan dispatch.Dump),
		capacityRequests: make(chan capacityRequest),
		notifications:    make(chan notification, maxQueuedNotifications),
		evacuation:       make(chan struct{}, 1),
	}
	c.state.Store(ledger.New())
	c.witnesses.Store(witness.NewOwner())
	c.intakeWriter = newIntakeWriter(c)
	return c
}

func (c *cell) ledger() *ledger.Ledger { return c.state.Load() }

func (c *cell) intakeStream() Stream { return Stream{Topic: intakeTopic, Partition: c.number} }
func (c *cell) cellStream() Stream   { return Stream{Topic: CellTopic, Partition: c.number} }

// assign sets the generation in which the cell is assigned to this node; 0 ends
// the assignment. It reports whether that changes it.
func (c *cell) assign(generation int64) bool {
	previous := c.generation.Swap(generation)
	if previous == generation {
		return false
	}
	if previous == 0 {
		c.assignedAt.Store(int64(c.node.monotonicNow()))
	}
	signal(c.wake)
	return true
}

func (c *cell) signalEvacuation() { signal(c.evacuation) }

// signal wakes the goroutine that receives from flag. Signals that are not yet
// received are merged.
func signal(flag chan struct{}) {
	select {
	case flag <- struct{}{}:
	default:
	}
}

// run owns the cell while it is assigned. Otherwise it reads the streams on
// request.
func (c *cell) run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for ctx.Err() == nil {
		if c.mayOpen() {
			c.runEpoch(ctx)
			continue
		}
		select {
		case <-ctx.Done():
		case <-c.wake:
		case answer := <-c.refreshRequests:
			err := c.catchUp(ctx)
			answer <- refreshResult{intakeNext: c.intakeNext, err: err}
		case <-sweep.C:
			c.sweep()
		}
	}
}

// sweep removes submissions that have been final for longer than finalRetention.
func (c *cell) sweep() {
	now := c.node.monotonicNow()
	if now-c.lastSweep < sweepInterval {
		return
	}
	c.lastSweep = now
	c.ledger().Sweep(now, finalRetention)
	c.attempts.sweep(now)
	c.recentlyAccepted.Range(func(id, accepted any) bool {
		if now-accepted.(acceptance).at > finalRetention {
			c.recentlyAccepted.Delete(id)
		}
		return true
	})
}

// waitUntilReleased waits until this node does not own the cell, or ctx is done.
func (c *cell) waitUntilReleased(ctx context.Context) {
	for c.owning.Load() && sleep(ctx, 5*time.Millisecond) {
	}
}

type refreshResult struct {
	// intakeNext is the offset of the intake record to apply next.
	intakeNext int64
	err        error
}

// refresh makes the cell's goroutine read the streams, unless this node owns the
// cell, and returns the offset of the intake record to apply next. Reads may lag
// behind the log's end by seconds.
func (c *cell) refresh(ctx context.Context) (int64, error) {
	answer := make(chan refreshResult, 1)
	select {
	case c.refreshRequests <- answer:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	select {
	case result := <-answer:
		return result.intakeNext, result.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// readIntakeToEnd waits until the intake is applied up to its current end.
func (c *cell) readIntakeToEnd(ctx context.Context) error {
	end, err := c.intakeEnd(ctx)
	if err != nil {
		return err
	}
	for attempt := 1; ; attempt++ {
		read, err := c.refresh(ctx)
		if err != nil {
			return err
		}
		if read >= end {
			return nil
		}
		if !sleep(ctx, retryDelay(attempt)) {
			return ctx.Err()
		}
	}
}
