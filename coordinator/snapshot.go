package coordinator

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/logevent"
)

// snapshotMark is the time of a snapshot and the offsets up to which it covers
// the streams.
type snapshotMark struct {
	at      time.Duration
	offsets ledger.Offsets
}

// saveSnapshot writes a snapshot of the ledger if one is due, so that a successor
// reads the records of a few seconds instead of all. The ledger is exactly the
// state after the records before the two offsets.
func (o *ownership) saveSnapshot(ctx context.Context) {
	now := o.node.monotonicNow()
	offsets := ledger.Offsets{Cell: o.cellNext, Intake: o.intakeNext}
	newRecords := offsets.Cell - o.lastSnapshot.offsets.Cell + offsets.Intake - o.lastSnapshot.offsets.Intake
	age, most := now-o.lastSnapshot.at, o.node.maxSnapshotInterval()
	due := age >= min(snapshotInterval, most) && newRecords > 0
	if failures := int(o.snapshotsFailed.Load()); failures > 0 {
		due = due || age >= min(most, snapshotInterval<<min(failures-1, maxSnapshotRetryDoublings))
	}
	if !due || o.snapshotInProgress.Swap(true) {
		return
	}
	o.lastSnapshot = snapshotMark{at: now, offsets: offsets}
	parts := o.ledger().SnapshotWith(offsets, o.machine.StoppingRuns())
	o.wg.Go(func() {
		defer o.snapshotInProgress.Store(false)
		if o.writeSnapshot(ctx, parts) {
			o.snapshotsFailed.Store(0)
		} else {
			o.snapshotsFailed.Add(1)
		}
	})
}

// maxSnapshotInterval returns the longest pause between snapshots: a fraction of the time for which the
// log keeps records, so that a few may fail.
func (n *Node) maxSnapshotInterval() time.Duration {
	if n.config.LogRetention <= 0 {
		return snapshotMaxInterval
	}
	return min(snapshotMaxInterval, n.config.LogRetention/snapshotsPerRetention)
}

// writeSnapshot writes the parts of a snapshot and reports whether it is saved. The next attempt
// has a new snapshot, which covers more records.
func (o *ownership) writeSnapshot(ctx context.Context, parts []*ledgerpb.Snapshot) bool {
	data, err := ledger.EncodeSnapshot(parts)
	if err != nil {
		o.node.logError(logevent.SnapshotFailed, err, zap.Int("cell", o.number))
		return false
	}
	call, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	now := o.node.monotonicNow()
	form, older := o.snapshotForm(now)
	appends, err := o.node.platform.Snapshots.Save(call, o.number, data, form)
	o.node.metrics.countLogCall(err)
	// After an error the older form is not tried again at once either: it may take too long.
	o.noteSaved(form, appends, older, now)
	if err != nil && ctx.Err() == nil {
		o.node.logError(logevent.SnapshotFailed, err, zap.Int("cell", o.number))
	}
	return err == nil
}

// loadSnapshot applies the newest complete snapshot if it covers more records of the cell
// stream than were read. Without a snapshot, all records that the log still has are read. It
// returns an error if only a later version reads the newest one.
func (c *cell) loadSnapshot(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, snapshotTimeout<<min(c.snapshotFailures, maxSnapshotDoublings))
	defer cancel()
	parts, err := c.readSnapshot(call)
	if parts == nil && errors.Is(err, ledger.ErrIncompleteSnapshot) {
		// It may have been replaced between two pages of the read.
		parts, err = c.readSnapshot(call)
	}
	c.snapshotErr = err
	if parts != nil || err == nil || errors.Is(err, ledger.ErrIncompleteSnapshot) {
		c.snapshotReadAt = c.node.monotonicNow()
	}
	if errors.Is(err, ledger.ErrUnknownFormat) {
		return err
	}
	if err != nil && parts == nil {
		c.node.logError(logevent.SnapshotFailed, err, zap.Int("cell", c.number))
	}
	if parts == nil || parts[0].CellNext <= c.cellNext+int64(len(c.unapplied)) {
		return nil
	}
	at := c.ledger().ApplySnapshot(parts)
	if at.Intake > c.intakeNext {
		c.unreadable = nil
	}
	c.cellNext, c.snapshotNext, c.unapplied = at.Cell, at.Cell, nil
	c.intakeNext = max(c.intakeNext, at.Intake)
	return nil
}

func (c *cell) readSnapshot(ctx context.Context) ([]*ledgerpb.Snapshot, error) {
	data, err := c.node.platform.Snapshots.Load(ctx, c.number)
	c.node.metrics.countLogCall(err)
	if err != nil {
		c.snapshotFailures++
		return nil, err
	}
	c.snapshotFailures = 0
	return newestSnapshot(c.node.reader, data)
}

// newestSnapshot returns the complete snapshot that covers the most records of the cell
// stream. Others that can't be read are left-overs of saves that were not finished, and lost to
// every node. If none is complete, it returns an error if there are any. It returns only the
// error if the newest one is in a format that the reader doesn't know.
func newestSnapshot(reader ledger.Reader, snapshots [][][]byte) (newest []*ledgerpb.Snapshot, err error) {
	var unknown error
	unknownNext := int64(0)
	for _, data := range snapshots {
		parts, decodeErr := reader.DecodeSnapshot(data)
		switch {
		case errors.Is(decodeErr, ledger.ErrUnknownFormat):
			if next := parts[0].CellNext; unknown == nil || next > unknownNext {
				unknown, unknownNext = decodeErr, next
			}
		case decodeErr != nil:
			err = decodeErr
		case newest == nil || parts[0].CellNext > newest[0].CellNext:
			newest = parts
		}
	}
	if unknown != nil && (newest == nil || unknownNext > newest[0].CellNext) {
		return nil, unknown
	}
	if newest != nil {
		return newest, nil
	}
	return nil, err
}
