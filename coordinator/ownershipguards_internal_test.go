package coordinator

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// ownershipOf returns an ownership of an epoch of the only cell, whose copy ends with the Opened record.
func ownershipOf(epoch int64, cancel context.CancelFunc) *ownership {
	c := NewNode(Config{Cells: 1}, Platform{}, nil, NewMetrics()).cells[0]
	c.cellNext = 1
	return c.newOwnership(&opening{epoch: epoch, sequence: 1}, 0, cancel)
}

// Guards against a copy of the cell that lacks records: the owner is told of a batch that doesn't follow the
// records that it has applied.
func TestCopyThatLacksRecordsIsDiscarded(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	o := ownershipOf(1, cancel)
	is.True(o.post(ctx, batchAppended{appendIDs: []int64{1}, first: 2, end: 3}))
	is.Equal(o.guardedEventLoop(ctx), panicked)
	is.Equal(o.cellNext, int64(0)) // the next read begins anew
}

// Guards against an ownership that takes a step after the node was asked to resign it.
func TestOwnershipThatWasResignedBeforeItBeganTakesNoStep(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	o := ownershipOf(7, cancel)
	o.resignedEpoch.Store(7)
	is.True(o.post(ctx, batchAppended{first: 1, end: 2}))
	is.Equal(o.eventLoop(ctx), resigned)
	is.Equal(o.cellNext, int64(1))
}
