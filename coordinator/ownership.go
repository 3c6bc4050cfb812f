package coordinator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/logevent"
)

// ownership is one epoch of a cell at this node.
type ownership struct {
	*cell
	epoch    int64
	machine  *dispatch.Machine
	events   chan any
	writer   *cellWriter
	openedAt time.Duration
	cancel   context.CancelFunc
	// saved is what the last snapshot held, saving is true while one is written.
	lastSnapshot       snapshotMark
	snapshotInProgress atomic.Bool
	wg                 sync.WaitGroup
}

// intakeRead is a page of the intake that the tail read.
type intakePageRead struct{ page Page }

// written tells that an append is on the log.
type batchAppended struct {
	tokens []int64
	end    int64
}

// own opens an epoch and works until the cell is taken away or fenced.
func (c *cell) runEpoch(parent context.Context) {
	if !c.node.assignmentValid() {
		sleep(parent, logRetryDelay)
		return
	}
	epoch, former, err := c.openEpoch(parent)
	if err != nil {
		if parent.Err() == nil {
			c.node.logError(logevent.EpochNotOpened, err, zap.Int("cell", c.number))
			sleep(parent, logRetryDelay)
		}
		return
	}
	began := c.node.monotonicNow()
	c.node.logger.Log(logevent.EpochOpened, zap.Int("cell", c.number), zap.Int64("epoch", epoch), zap.Int("live", len(c.ledger.Live())))
	ctx, cancel := context.WithCancel(parent)
	config := c.node.config.Dispatch
	config.Epoch = epoch
	config.PredecessorExpiry = c.predecessorLeaseExpiry(former)
	o := &ownership{
		cell: c, epoch: epoch, cancel: cancel,
		machine:  dispatch.New(config, c.ledger, c.node.monotonicNow(), time.Now()),
		openedAt: began,
		events:   make(chan any, maxQueuedEvents),
	}
	o.writer = newCellWriter(o)
	c.newestEpoch.Store(epoch)
	c.owning.Store(true)
	o.wg.Go(func() { o.tailIntake(ctx, c.intakeNext) })
	c.node.workers.subscribe(ctx, o)
	o.wg.Go(func() { o.writer.run(ctx) })
	o.wg.Go(func() { o.requestResignation(ctx, former) })
	o.wg.Go(func() { o.publishOwner(ctx, c.ledger.Owner()) })
	reason := o.eventLoop(ctx)
	cancel()
	c.node.workers.unsubscribe(o)
	o.wg.Wait()
	c.owning.Store(false)
	c.node.logger.Log(logevent.EpochEnded, zap.Int("cell", c.number), zap.Int64("epoch", epoch),
		zap.String("reason", reason), zap.Duration("duration", c.node.monotonicNow()-began))
}

// open reads the streams and fences earlier owners with an Opened record. The
// record goes to the end that was read, so no record of an earlier owner can
// come between.
func (c *cell) openEpoch(ctx context.Context) (epoch int64, former ledger.Owner, err error) {
	for attempt := 1; c.generation.Load() != 0; attempt++ {
		if err := c.catchUp(ctx); err != nil {
			return 0, former, fmt.Errorf("read the streams: %w", err)
		}
		former = c.ledger.Owner()
		epoch = max(c.generation.Load(), c.ledger.Owner().Epoch+1)
		owner := ledger.Owner{Epoch: epoch, VM: c.node.config.VM, PeerAddress: c.node.config.PeerAddress}
		record := ledger.OpenedRecord(owner)
		data, err := ledger.Encode(record)
		if err != nil {
			return 0, former, err
		}
		call, cancel := context.WithTimeout(ctx, logTimeout)
		end, err := c.node.platform.Log.Append(call, c.cellStream(), [][]byte{data}, &Fence{Epoch: epoch, Sequence: 1, ExpectedEnd: c.cellNext})
		cancel()
		c.node.metrics.countLogCall(err)
		if errors.Is(err, ErrOffsetMismatch) {
			// The read was behind the stream's end.
			sleep(ctx, retryDelay(attempt))
			continue
		}
		if err != nil {
			return 0, former, fmt.Errorf("append the epoch: %w", err)
		}
		c.ledger.Apply(record)
		c.cellNext = end
		c.node.owners.update(c.number, owner)
		return epoch, former, nil
	}
	return 0, former, errors.New("cell is no longer assigned")
}

// loop feeds the machine until the ownership ends, and returns why it ended.
func (o *ownership) eventLoop(ctx context.Context) string {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	o.signalEvacuation()
	for {
		select {
		case <-ctx.Done():
			if o.generation.Load() == 0 {
				return "assignment ended"
			}
			return "fenced or stopped"
		case <-o.wake:
			if o.generation.Load() == 0 {
				return "assignment ended"
			}
			if o.resignedEpoch.Load() >= o.epoch {
				return "resigned"
			}
		case answer := <-o.refreshRequests:
			answer <- refreshResult{intakeNext: o.intakeNext}
		case answer := <-o.dumpRequests:
			answer <- o.machine.Dump()
		case n := <-o.notifications:
			o.applyNotification(ctx, n)
		case <-o.evacuation:
			if d := o.node.declarations.Load(); d != nil {
				o.step(ctx, dispatch.Evacuated{DataCentres: d.Evacuated})
			}
		case ev := <-o.events:
			o.handleEvent(ctx, ev)
		case now := <-tick.C:
			o.step(ctx, dispatch.Tick{Now: now})
			o.sweep()
			o.saveSnapshot(ctx)
		}
	}
}

func (o *ownership) handleEvent(ctx context.Context, ev any) {
	switch ev := ev.(type) {
	case intakePageRead:
		o.applyIntakePage(ctx, ev.page)
	case batchAppended:
		for _, token := range ev.tokens {
			o.step(ctx, dispatch.Appended{Token: token})
		}
		o.cellNext = ev.end
	case dispatch.Event:
		o.step(ctx, ev)
	}
}

// takeIntake applies the records of a page that are not applied yet.
func (o *ownership) applyIntakePage(ctx context.Context, page Page) {
	for i, data := range page.Records {
		if page.From+int64(i) < o.intakeNext {
			continue
		}
		o.applyIntakeRecord(ctx, data)
		o.intakeNext = page.From + int64(i) + 1
	}
}

func (o *ownership) applyIntakeRecord(ctx context.Context, data []byte) {
	if e := o.apply(data); e != nil {
		o.step(ctx, dispatch.EntryChanged{Entry: e})
	}
}

// takeNotice applies a record that another node told of. A record that is not
// the next one of the intake is applied at once too: records of different
// submissions do not depend on each other, and the log brings it again in its
// order. A cancellation of an unknown submission has no effect before that.
func (o *ownership) applyNotification(ctx context.Context, n notification) {
	if n.offset < o.intakeNext {
		return
	}
	o.applyIntakeRecord(ctx, n.record)
	if n.offset == o.intakeNext {
		o.intakeNext++
	}
}

// post gives an event to the loop.
func (o *ownership) post(ctx context.Context, ev any) {
	select {
	case o.events <- ev:
	case <-ctx.Done():
	}
}

// tailIntake reads the intake as records come.
func (o *ownership) tailIntake(ctx context.Context, from int64) {
	for attempt := 1; ctx.Err() == nil; {
		page, err := o.readPage(ctx, o.intakeStream(), from, intakePageRecords, intakeReadWait)
		switch {
		case errors.Is(err, ErrExpired):
			from = page.LogStart
		case err != nil:
			sleep(ctx, retryDelay(attempt))
			attempt++
		default:
			attempt = 1
			if len(page.Records) > 0 {
				o.post(ctx, intakePageRead{page: page})
			}
			from = page.From + int64(len(page.Records))
		}
	}
}
