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
	epoch   int64
	machine *dispatch.Machine
	events  chan any
	writer  *cellWriter
	opened  time.Duration
	cancel  context.CancelFunc
	// saved is what the last snapshot held, saving is true while one is written.
	saved  savedSnapshot
	saving atomic.Bool
	tasks  sync.WaitGroup
}

// intakeRead is a page of the intake that the tail read.
type intakeRead struct{ page Page }

// written tells that an append is on the log.
type written struct {
	tokens []int64
	end    int64
}

// own opens an epoch and works until the cell is taken away or fenced.
func (c *cell) own(parent context.Context) {
	if !c.node.assignmentFresh() {
		pause(parent, logRetry)
		return
	}
	epoch, former, err := c.open(parent)
	if err != nil {
		if parent.Err() == nil {
			c.node.logError(logevent.EpochNotOpened, err, zap.Int("cell", c.number))
			pause(parent, logRetry)
		}
		return
	}
	began := c.node.now()
	c.node.events.Log(logevent.EpochOpened, zap.Int("cell", c.number), zap.Int64("epoch", epoch), zap.Int("live", len(c.book.Live())))
	ctx, cancel := context.WithCancel(parent)
	config := c.node.config.Dispatch
	config.Epoch = epoch
	config.PredecessorExpiry = c.predecessorLapse(former)
	o := &ownership{
		cell: c, epoch: epoch, cancel: cancel,
		machine: dispatch.New(config, c.book, c.node.now(), time.Now()),
		opened:  began,
		events:  make(chan any, eventBacklog),
	}
	o.writer = newCellWriter(o)
	c.epoch.Store(epoch)
	c.owning.Store(true)
	o.tasks.Go(func() { o.tailIntake(ctx, c.intakeNext) })
	c.node.workers.subscribe(ctx, o)
	o.tasks.Go(func() { o.writer.run(ctx) })
	o.tasks.Go(func() { o.askResignation(ctx, former) })
	o.tasks.Go(func() { o.announce(ctx, c.book.Owner()) })
	reason := o.loop(ctx)
	cancel()
	c.node.workers.unsubscribe(o)
	o.tasks.Wait()
	c.owning.Store(false)
	c.node.events.Log(logevent.EpochEnded, zap.Int("cell", c.number), zap.Int64("epoch", epoch),
		zap.String("reason", reason), zap.Duration("duration", c.node.now()-began))
}

// open reads the streams and fences earlier owners with an Opened record. The
// record goes to the end that was read, so no record of an earlier owner can
// come between.
func (c *cell) open(ctx context.Context) (epoch int64, former ledger.Owner, err error) {
	for attempt := 1; c.assigned.Load() != 0; attempt++ {
		if err := c.catchUp(ctx); err != nil {
			return 0, former, fmt.Errorf("read the streams: %w", err)
		}
		former = c.book.Owner()
		epoch = max(c.assigned.Load(), c.book.Owner().Epoch+1)
		owner := ledger.Owner{Epoch: epoch, VM: c.node.config.VM, PeerAddress: c.node.config.PeerAddress}
		record := ledger.OpenedRecord(owner)
		data, err := ledger.Encode(record)
		if err != nil {
			return 0, former, err
		}
		call, cancel := context.WithTimeout(ctx, logTimeout)
		end, err := c.node.platform.Log.Append(call, c.stream(), [][]byte{data}, &Fence{Epoch: epoch, Sequence: 1, At: c.cellNext})
		cancel()
		c.node.meters.logCall(err)
		if errors.Is(err, ErrMoved) {
			// The read was behind the stream's end.
			pause(ctx, retryPause(attempt))
			continue
		}
		if err != nil {
			return 0, former, fmt.Errorf("append the epoch: %w", err)
		}
		c.book.Apply(record)
		c.cellNext = end
		c.node.owners.note(c.number, owner)
		return epoch, former, nil
	}
	return 0, former, errors.New("cell is no longer assigned")
}

// loop feeds the machine until the ownership ends, and returns why it ended.
func (o *ownership) loop(ctx context.Context) string {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	o.evacuationChanged()
	for {
		select {
		case <-ctx.Done():
			if o.assigned.Load() == 0 {
				return "assignment ended"
			}
			return "fenced or stopped"
		case <-o.changed:
			if o.assigned.Load() == 0 {
				return "assignment ended"
			}
			if o.resigned.Load() >= o.epoch {
				return "resigned"
			}
		case answer := <-o.refreshes:
			answer <- position{intake: o.intakeNext}
		case answer := <-o.dumps:
			answer <- o.machine.Dump()
		case n := <-o.notices:
			o.takeNotice(ctx, n)
		case <-o.evacuation:
			if d := o.node.declared.Load(); d != nil {
				o.step(ctx, dispatch.Evacuated{DataCentres: d.Evacuated})
			}
		case ev := <-o.events:
			o.take(ctx, ev)
		case now := <-tick.C:
			o.step(ctx, dispatch.Tick{Now: now})
			o.sweep()
			o.saveSnapshot(ctx)
		}
	}
}

func (o *ownership) take(ctx context.Context, ev any) {
	switch ev := ev.(type) {
	case intakeRead:
		o.takeIntake(ctx, ev.page)
	case written:
		for _, token := range ev.tokens {
			o.step(ctx, dispatch.Appended{Token: token})
		}
		o.cellNext = ev.end
	case dispatch.Event:
		o.step(ctx, ev)
	}
}

// takeIntake applies the records of a page that are not applied yet.
func (o *ownership) takeIntake(ctx context.Context, page Page) {
	for i, data := range page.Records {
		if page.From+int64(i) < o.intakeNext {
			continue
		}
		o.applyIntake(ctx, data)
		o.intakeNext = page.From + int64(i) + 1
	}
}

func (o *ownership) applyIntake(ctx context.Context, data []byte) {
	if e := o.apply(data); e != nil {
		o.step(ctx, dispatch.EntryChanged{Entry: e})
	}
}

// takeNotice applies a record that another node told of. A record that is not
// the next one of the intake is applied at once too: records of different
// submissions do not depend on each other, and the log brings it again in its
// order. A cancellation of an unknown submission has no effect before that.
func (o *ownership) takeNotice(ctx context.Context, n notice) {
	if n.offset < o.intakeNext {
		return
	}
	o.applyIntake(ctx, n.record)
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
		page, err := o.read(ctx, o.intake(), from, intakePage, tailWait)
		switch {
		case errors.Is(err, ErrExpired):
			from = page.First
		case err != nil:
			pause(ctx, retryPause(attempt))
			attempt++
		default:
			attempt = 1
			if len(page.Records) > 0 {
				o.post(ctx, intakeRead{page: page})
			}
			from = page.From + int64(len(page.Records))
		}
	}
}
