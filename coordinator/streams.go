package coordinator

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/logevent"
)

// catchUp applies all records of both streams. The cell stream is read first and
// applied last: the submissions that its records refer to are then in the intake
// before the end that is requested after the read. Records that a failed attempt
// has read are kept for the next one, which reads no snapshot soon after it.
func (c *cell) catchUp(ctx context.Context) error {
	if c.isOlder(c.caughtUpAt, snapshotReadAge) && c.isOlder(c.snapshotReadAt, snapshotReadAge) {
		if err := c.loadSnapshot(ctx); err != nil {
			return err
		}
	}
	if err := c.readCellStream(ctx); err != nil {
		return err
	}
	endRequestedAt := c.node.monotonicNow()
	end, err := c.intakeEnd(ctx)
	if err != nil {
		return err
	}
	if err := c.applyIntakeUpTo(ctx, end); err != nil {
		return err
	}
	if err := c.applyUnapplied(); err != nil {
		return err
	}
	c.unreadable = nil
	c.caughtUpAt, c.intakeKnownAt = c.node.monotonicNow(), endRequestedAt
	c.node.owners.update(c.number, c.ledger().Owner())
	return nil
}

// applyUnapplied applies the records of the cell stream that were read.
func (c *cell) applyUnapplied() error {
	for len(c.unapplied) > 0 {
		if _, err := c.apply(c.unapplied[0]); err != nil {
			c.unreadable = err
			return err
		}
		c.cellNext++
		c.unapplied = c.unapplied[1:]
	}
	c.unapplied = nil
	return nil
}

// isOlder reports whether a time is 0 or longer ago than age.
func (c *cell) isOlder(at, age time.Duration) bool {
	return at == 0 || c.node.monotonicNow()-at > age
}

// intakeEnd returns the end offset of the intake; reads may lag behind it. If a
// record of the cell stream were applied before the submission that it refers to,
// it would be lost, and the task would run again.
func (c *cell) intakeEnd(ctx context.Context) (int64, error) {
	call, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	end, err := c.node.platform.Log.End(call, c.intakeStream())
	c.node.metrics.countLogCall(err)
	return end, err
}

// readCellStream reads the cell stream to its current end without applying it.
func (c *cell) readCellStream(ctx context.Context) error {
	for {
		page, err := c.readLimited(ctx, c.cellStream(), c.cellNext+int64(len(c.unapplied)), &c.cellPages)
		if errors.Is(err, ErrExpired) {
			if err := c.missingState(); err != nil {
				return err
			}
			c.reportExpired(c.cellStream(), c.cellNext, page.LogStart)
			c.expiredRecords += page.LogStart - c.cellNext
			c.cellNext, c.unapplied = page.LogStart, nil
			continue
		}
		if err != nil {
			return err
		}
		c.unapplied = append(c.unapplied, page.Records...)
		if c.cellNext+int64(len(c.unapplied)) >= page.LogEnd {
			return nil
		}
	}
}

// applyIntakeUpTo reads and applies the intake to its current end, and at least
// up to the offset end: reads may lag behind by seconds.
func (c *cell) applyIntakeUpTo(ctx context.Context, end int64) error {
	for attempt := 1; ; {
		page, err := c.readLimited(ctx, c.intakeStream(), c.intakeNext, &c.intakePages)
		if errors.Is(err, ErrExpired) {
			if err := c.missingState(); err != nil {
				return err
			}
			c.reportExpired(c.intakeStream(), c.intakeNext, page.LogStart)
			c.intakeNext = page.LogStart
			continue
		}
		if err != nil {
			return err
		}
		for _, data := range page.Records {
			if _, err := c.apply(data); err != nil {
				c.unreadable = err
				return err
			}
			c.intakeNext++
		}
		switch {
		case c.intakeNext >= max(end, page.LogEnd):
			return nil
		case len(page.Records) > 0:
			continue
		}
		if !sleep(ctx, retryDelay(attempt)) {
			return ctx.Err()
		}
		attempt++
	}
}

func (c *cell) reportExpired(s Stream, from, first int64) {
	c.node.logger.Log(logevent.LogExpired, zap.String("topic", s.Topic), zap.Int64("from", from), zap.Int64("first", first))
}

// readLimited reads a page without waiting for records.
func (c *cell) readLimited(ctx context.Context, s Stream, from int64, limit *pageLimit) (Page, error) {
	sent := c.node.monotonicNow()
	page, err := c.readPage(ctx, s, from, limit.records, 0)
	limit.observe(c.node.monotonicNow()-sent, err)
	return page, err
}

func (c *cell) readPage(ctx context.Context, s Stream, from int64, limit int, wait time.Duration) (Page, error) {
	call, cancel := context.WithTimeout(ctx, wait+logTimeout)
	defer cancel()
	page, err := c.node.platform.Log.Read(call, s, from, limit, wait)
	c.node.metrics.countLogCall(err)
	if err == nil {
		c.node.recordStoreResponse()
	}
	return page, err
}

// apply applies one record and returns its entry, or nil. A record that no version can
// decode, or whose handling panics, is skipped, so that it does not stop a takeover. One that
// only a later version reads has no effect, and the error wraps ledger.ErrUnknownFormat.
func (c *cell) apply(data []byte) (entry *ledger.Entry, err error) {
	defer func() {
		if v := recover(); v != nil {
			c.reportPanic(v)
			entry = nil
		}
	}()
	r, err := c.node.reader.Decode(data)
	if errors.Is(err, ledger.ErrUnknownFormat) {
		return nil, err
	}
	if err != nil {
		c.node.logError(logevent.BadLedgerRecord, err, zap.Int("cell", c.number))
		return nil, nil
	}
	if r.Transferred != nil && !c.takesTransfer(r.Transferred) {
		return nil, nil
	}
	e := c.ledger().Apply(r)
	if e != nil && r.Submitted != nil {
		c.recentlyAccepted.Delete(e.ID)
	}
	return e, nil
}
