package coordinator

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/logevent"
)

// Topics of the cells' streams; the partition is the cell's number.
const (
	intakeTopic = "intake"
	// CellTopic is the topic whose partitions the group distributes.
	CellTopic = "cells"
)

// cell owns one cell while it is assigned. Otherwise the cell's owner is asked,
// and the streams are read only if nobody answers: on a large deployment, all
// nodes together could not read all streams after a common restart.
type cell struct {
	node   *Node
	number int
	ledger *ledger.Ledger
	// intakeNext and cellNext are the offsets of the records to apply next.
	intakeNext int64
	cellNext   int64
	// ahead are records of the cell stream from cellNext on that wait for the
	// records of the intake which they refer to.
	unapplied [][]byte
	// caughtUpAt is when the streams were last read to their ends.
	caughtUpAt time.Duration
	// assigned is the generation of the assignment, or 0.
	generation atomic.Int64
	// changed wakes the cell's goroutine.
	wake chan struct{}
	// refreshes asks for a read of the streams.
	refreshRequests chan chan refreshResult
	// dumps asks the owner for its machine's state.
	dumpRequests chan chan dispatch.Dump
	// sweptAt is when ended submissions were forgotten last.
	lastSweep time.Duration
	// owning is true while this node owns the cell.
	owning atomic.Bool
	// epoch is the newest epoch of this node, resigned the highest one that it
	// was asked to end.
	newestEpoch   atomic.Int64
	resignedEpoch atomic.Int64
	// recent are the ids that this node accepted and has not read back.
	recentlyAccepted sync.Map
	// notices are records of the intake that other nodes told of.
	notifications chan notification
	// evacuation gets a signal when the set of evacuated data centres changed.
	evacuation chan struct{}
}

func newCell(n *Node, number int) *cell {
	return &cell{
		node: n, number: number, ledger: ledger.New(),
		wake:            make(chan struct{}, 1),
		refreshRequests: make(chan chan refreshResult),
		dumpRequests:    make(chan chan dispatch.Dump),
		notifications:   make(chan notification, maxQueuedNotifications),
		evacuation:      make(chan struct{}, 1),
	}
}

func (c *cell) intakeStream() Stream { return Stream{Topic: intakeTopic, Partition: c.number} }
func (c *cell) cellStream() Stream   { return Stream{Topic: CellTopic, Partition: c.number} }

// assign gives the cell to this node in a generation, or takes it away with 0.
func (c *cell) assign(generation int64) {
	if c.generation.Swap(generation) != generation {
		signal(c.wake)
	}
}

func (c *cell) signalEvacuation() { signal(c.evacuation) }

// signal sets a flag that one goroutine waits for.
func signal(flag chan struct{}) {
	select {
	case flag <- struct{}{}:
	default:
	}
}

// run owns the cell while it is assigned, and reads its streams when a caller
// needs them and no owner answers.
func (c *cell) run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for ctx.Err() == nil {
		if c.generation.Load() != 0 {
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

// sweep forgets what ended long ago.
func (c *cell) sweep() {
	now := c.node.monotonicNow()
	if now-c.lastSweep < sweepInterval {
		return
	}
	c.lastSweep = now
	c.ledger.Sweep(now, finalRetention)
	c.recentlyAccepted.Range(func(id, at any) bool {
		if now-at.(time.Duration) > finalRetention {
			c.recentlyAccepted.Delete(id)
		}
		return true
	})
}

// waitReleased waits until the cell is not owned.
func (c *cell) waitUntilReleased(ctx context.Context) {
	for c.owning.Load() && sleep(ctx, 5*time.Millisecond) {
	}
}

// catchUp applies all records of both streams. The cell stream is read first and
// applied last: its records refer to submissions that are in the intake by then,
// up to the end that is asked for in between. What a failed try has read is kept
// for the next one.
func (c *cell) catchUp(ctx context.Context) error {
	if c.caughtUpAt == 0 || c.node.monotonicNow()-c.caughtUpAt > snapshotReadAge {
		c.loadSnapshot(ctx)
	}
	if err := c.readCellStream(ctx); err != nil {
		return err
	}
	end, err := c.intakeEnd(ctx)
	if err != nil {
		return err
	}
	if err := c.applyIntakeUpTo(ctx, end); err != nil {
		return err
	}
	for _, data := range c.unapplied {
		c.apply(data)
	}
	c.cellNext += int64(len(c.unapplied))
	c.unapplied = nil
	c.caughtUpAt = c.node.monotonicNow()
	c.node.owners.update(c.number, c.ledger.Owner())
	return nil
}

// intakeEnd returns the intake's end, which a read may not show yet. A record of
// the cell stream that refers to a submission beyond what is applied would be
// lost, and its task would run again.
func (c *cell) intakeEnd(ctx context.Context) (int64, error) {
	call, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	end, err := c.node.platform.Log.End(call, c.intakeStream())
	c.node.metrics.countLogCall(err)
	return end, err
}

// readAhead reads the cell stream to its present end.
func (c *cell) readCellStream(ctx context.Context) error {
	for {
		page, err := c.readPage(ctx, c.cellStream(), c.cellNext+int64(len(c.unapplied)), cellPageRecords, 0)
		if errors.Is(err, ErrExpired) {
			c.reportExpired(c.cellStream(), c.cellNext, page.LogStart)
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

// applyIntakeThrough reads and applies the intake to its present end, and at
// least to an offset: reads may be seconds behind.
func (c *cell) applyIntakeUpTo(ctx context.Context, end int64) error {
	for attempt := 1; ; {
		page, err := c.readPage(ctx, c.intakeStream(), c.intakeNext, intakePageRecords, 0)
		if errors.Is(err, ErrExpired) {
			c.reportExpired(c.intakeStream(), c.intakeNext, page.LogStart)
			c.intakeNext = page.LogStart
			continue
		}
		if err != nil {
			return err
		}
		for _, data := range page.Records {
			c.apply(data)
		}
		c.intakeNext += int64(len(page.Records))
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

// apply applies one record and returns its entry, or nil.
func (c *cell) apply(data []byte) *ledger.Entry {
	r, err := ledger.Decode(data)
	if err != nil {
		c.node.logError(logevent.BadLedgerRecord, err, zap.Int("cell", c.number))
		return nil
	}
	e := c.ledger.Apply(r)
	if e != nil && r.Submitted != nil {
		c.recentlyAccepted.Delete(e.ID)
	}
	return e
}

// position is how far a cell's goroutine has read.
type refreshResult struct {
	// intake is the offset of the intake's record to apply next.
	intakeNext int64
	err        error
}

// refresh reads the streams, unless this node owns the cell, and returns how
// far they are read. A read may be seconds behind the log's end.
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

// readIntake reads the intake up to the end that it has now.
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
