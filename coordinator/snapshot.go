package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/logevent"
)

// savedSnapshot is when an ownership last wrote a snapshot, and of what.
type savedSnapshot struct {
	at      time.Duration
	offsets ledger.Offsets
}

// saveSnapshot writes the cell's state now and then, so that a successor reads
// the records of a few seconds instead of all. The book is exactly what the
// records before the two offsets amount to.
func (o *ownership) saveSnapshot(ctx context.Context) {
	now := o.node.now()
	offsets := ledger.Offsets{Cell: o.cellNext, Intake: o.intakeNext}
	news := offsets.Cell - o.saved.offsets.Cell + offsets.Intake - o.saved.offsets.Intake
	due := now-o.saved.at >= snapshotInterval && news >= snapshotLeast || now-o.saved.at >= snapshotAtLeast && news > 0
	if !due || o.saving.Swap(true) {
		return
	}
	o.saved = savedSnapshot{at: now, offsets: offsets}
	parts := o.book.Snapshot(offsets)
	o.tasks.Go(func() {
		defer o.saving.Store(false)
		o.writeSnapshot(ctx, parts)
	})
}

// writeSnapshot writes the parts. A snapshot that fails is not repeated: the
// next one holds more.
func (o *ownership) writeSnapshot(ctx context.Context, parts []*ledgerpb.Snapshot) {
	data := make([][]byte, len(parts))
	for i, p := range parts {
		var err error
		if data[i], err = proto.Marshal(p); err != nil {
			o.node.logError(logevent.SnapshotFailed, err, zap.Int("cell", o.number))
			return
		}
	}
	call, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	err := o.node.platform.Snapshots.Save(call, o.number, data)
	o.node.meters.logCall(err)
	if err != nil && ctx.Err() == nil {
		o.node.logError(logevent.SnapshotFailed, err, zap.Int("cell", o.number))
	}
}

// loadSnapshot applies the newest snapshot if it holds more than is known. It
// only saves reading: without one all records are read.
func (c *cell) loadSnapshot(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	data, err := c.node.platform.Snapshots.Load(call, c.number)
	c.node.meters.logCall(err)
	if err != nil {
		c.node.logError(logevent.SnapshotFailed, err, zap.Int("cell", c.number))
		return
	}
	if len(data) == 0 {
		return
	}
	parts, err := ledger.DecodeSnapshot(data)
	if err != nil {
		c.node.logError(logevent.SnapshotFailed, err, zap.Int("cell", c.number))
		return
	}
	if parts[0].CellNext <= c.cellNext+int64(len(c.ahead)) {
		return
	}
	at := c.book.ApplySnapshot(parts)
	c.cellNext, c.ahead = at.Cell, nil
	c.intakeNext = max(c.intakeNext, at.Intake)
}
