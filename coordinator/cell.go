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
	book   *ledger.Ledger
	// intakeNext and cellNext are the offsets of the records to apply next.
	intakeNext int64
	cellNext   int64
	// ahead are records of the cell stream from cellNext on that wait for the
	// records of the intake which they refer to.
	ahead [][]byte
	// caughtUpAt is when the streams were last read to their ends.
	caughtUpAt time.Duration
	// assigned is the generation of the assignment, or 0.
	assigned atomic.Int64
	// changed wakes the cell's goroutine.
	changed chan struct{}
	// refreshes asks for a read of the streams.
	refreshes chan chan position
	// dumps asks the owner for its machine's state.
	dumps chan chan dispatch.Dump
	// sweptAt is when ended submissions were forgotten last.
	sweptAt time.Duration
	// owning is true while this node owns the cell.
	owning atomic.Bool
	// epoch is the newest epoch of this node, resigned the highest one that it
	// was asked to end.
	epoch    atomic.Int64
	resigned atomic.Int64
	// recent are the ids that this node accepted and has not read back.
	recent sync.Map
	// notices are records of the intake that other nodes told of.
	notices chan notice
	// evacuation gets a signal when the set of evacuated data centres changed.
	evacuation chan struct{}
}

func newCell(n *Node, number int) *cell {
	return &cell{
		node: n, number: number, book: ledger.New(),
		changed:    make(chan struct{}, 1),
		refreshes:  make(chan chan position),
		dumps:      make(chan chan dispatch.Dump),
		notices:    make(chan notice, noticeBacklog),
		evacuation: make(chan struct{}, 1),
	}
}

func (c *cell) intake() Stream { return Stream{Topic: intakeTopic, Partition: c.number} }
func (c *cell) stream() Stream { return Stream{Topic: CellTopic, Partition: c.number} }

// assign gives the cell to this node in a generation, or takes it away with 0.
func (c *cell) assign(generation int64) {
	if c.assigned.Swap(generation) != generation {
		signal(c.changed)
	}
}

func (c *cell) evacuationChanged() { signal(c.evacuation) }

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
		if c.assigned.Load() != 0 {
			c.own(ctx)
			continue
		}
		select {
		case <-ctx.Done():
		case <-c.changed:
		case answer := <-c.refreshes:
			err := c.catchUp(ctx)
			answer <- position{intake: c.intakeNext, err: err}
		case <-sweep.C:
			c.sweep()
		}
	}
}

// sweep forgets what ended long ago.
func (c *cell) sweep() {
	now := c.node.now()
	if now-c.sweptAt < sweepInterval {
		return
	}
	c.sweptAt = now
	c.book.Sweep(now, finalKept)
	c.recent.Range(func(id, at any) bool {
		if now-at.(time.Duration) > finalKept {
			c.recent.Delete(id)
		}
		return true
	})
}

// waitReleased waits until the cell is not owned.
func (c *cell) waitReleased(ctx context.Context) {
	for c.owning.Load() && pause(ctx, 5*time.Millisecond) {
	}
}

// catchUp applies all records of both streams. The cell stream is read first and
// applied last: its records refer to submissions that are in the intake by then,
// up to the end that is asked for in between. What a failed try has read is kept
// for the next one.
func (c *cell) catchUp(ctx context.Context) error {
	if c.caughtUpAt == 0 || c.node.now()-c.caughtUpAt > snapshotBehind {
		c.loadSnapshot(ctx)
	}
	if err := c.readAhead(ctx); err != nil {
		return err
	}
	end, err := c.intakeEnd(ctx)
	if err != nil {
		return err
	}
	if err := c.applyIntakeThrough(ctx, end); err != nil {
		return err
	}
	for _, data := range c.ahead {
		c.apply(data)
	}
	c.cellNext += int64(len(c.ahead))
	c.ahead = nil
	c.caughtUpAt = c.node.now()
	c.node.owners.note(c.number, c.book.Owner())
	return nil
}

// intakeEnd returns the intake's end, which a read may not show yet. A record of
// the cell stream that refers to a submission beyond what is applied would be
// lost, and its task would run again.
func (c *cell) intakeEnd(ctx context.Context) (int64, error) {
	call, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	end, err := c.node.platform.Log.End(call, c.intake())
	c.node.meters.logCall(err)
	return end, err
}

// readAhead reads the cell stream to its present end.
func (c *cell) readAhead(ctx context.Context) error {
	for {
		page, err := c.read(ctx, c.stream(), c.cellNext+int64(len(c.ahead)), cellPage, 0)
		if errors.Is(err, ErrExpired) {
			c.logExpired(c.stream(), c.cellNext, page.First)
			c.cellNext, c.ahead = page.First, nil
			continue
		}
		if err != nil {
			return err
		}
		c.ahead = append(c.ahead, page.Records...)
		if c.cellNext+int64(len(c.ahead)) >= page.End {
			return nil
		}
	}
}

// applyIntakeThrough reads and applies the intake to its present end, and at
// least to an offset: reads may be seconds behind.
func (c *cell) applyIntakeThrough(ctx context.Context, end int64) error {
	for attempt := 1; ; {
		page, err := c.read(ctx, c.intake(), c.intakeNext, intakePage, 0)
		if errors.Is(err, ErrExpired) {
			c.logExpired(c.intake(), c.intakeNext, page.First)
			c.intakeNext = page.First
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
		case c.intakeNext >= max(end, page.End):
			return nil
		case len(page.Records) > 0:
			continue
		}
		if !pause(ctx, retryPause(attempt)) {
			return ctx.Err()
		}
		attempt++
	}
}

func (c *cell) logExpired(s Stream, from, first int64) {
	c.node.events.Log(logevent.LogExpired, zap.String("topic", s.Topic), zap.Int64("from", from), zap.Int64("first", first))
}

func (c *cell) read(ctx context.Context, s Stream, from int64, limit int, wait time.Duration) (Page, error) {
	call, cancel := context.WithTimeout(ctx, wait+logTimeout)
	defer cancel()
	page, err := c.node.platform.Log.Read(call, s, from, limit, wait)
	c.node.meters.logCall(err)
	if err == nil {
		c.node.storeAnswered()
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
	e := c.book.Apply(r)
	if e != nil && r.Submitted != nil {
		c.recent.Delete(e.ID)
	}
	return e
}

// position is how far a cell's goroutine has read.
type position struct {
	// intake is the offset of the intake's record to apply next.
	intake int64
	err    error
}

// refresh reads the streams, unless this node owns the cell, and returns how
// far they are read. A read may be seconds behind the log's end.
func (c *cell) refresh(ctx context.Context) (int64, error) {
	answer := make(chan position, 1)
	select {
	case c.refreshes <- answer:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	select {
	case p := <-answer:
		return p.intake, p.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// readIntake reads the intake up to the end that it has now.
func (c *cell) readIntake(ctx context.Context) error {
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
		if !pause(ctx, retryPause(attempt)) {
			return ctx.Err()
		}
	}
}
