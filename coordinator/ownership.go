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
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/witness"
)

// ownership is one epoch of a cell at this node.
type ownership struct {
	*cell
	epoch int64
	// firstSequence is the sequence number of the Opened record.
	firstSequence int64
	// previous is the owner of the epoch before.
	previous  predecessor
	witnesses *witness.Owner
	machine   *dispatch.Machine
	events    chan queuedEvent
	// reportRequests receives requests to report the leases to the witnesses, with a channel that
	// is closed then. lastReportMade receives a signal when the last report is made.
	reportRequests chan chan<- struct{}
	lastReportMade chan struct{}
	writer         *cellWriter
	openedAt       time.Duration
	cancel         context.CancelFunc
	lastSnapshot   snapshotMark
	// held are notifications of submissions that follow records which have not been applied, by offset.
	held map[int64]notification
	// olderFormAt is when a snapshot was last written in the form of earlier versions, or 0, and
	// olderFormFor for which VMs. The goroutine that writes a snapshot, of which there is one at
	// a time, uses them.
	olderFormAt        time.Duration
	olderFormFor       string
	snapshotInProgress atomic.Bool
	// snapshotsFailed is the number of snapshots in a row that could not be saved.
	snapshotsFailed atomic.Int32
	// endsVersion is the version of the known ends that the machine was told.
	endsVersion int64
	// proofSentAt is when a proof of the epoch was last appended.
	proofSentAt time.Duration
	// suspended is the time for which the VM has been suspended, as the event loop last
	// saw it. cancelling are the guests whose cancellation is being appended.
	suspended  time.Duration
	cancelling sync.Map
	// saturationReportedAt is when long planning rounds were last reported.
	saturationReportedAt time.Duration
	// behindReportedAt is when a long wait of an event was last reported.
	behindReportedAt time.Duration
	times            takeoverTimes
	// leavingSince is when the cell was found to be assigned to this node no more, or 0.
	leavingSince time.Duration
	wg           sync.WaitGroup
}

// intakePageRead reports a page of the intake that tailIntake read, possibly without
// records. sentAt is when the read was sent.
type intakePageRead struct {
	page   Page
	sentAt time.Duration
}

// batchAppended reports that a batch of records is in the log. appendIDs are the
// IDs of its Append actions, first is the offset of the first record, end that after the last one.
type batchAppended struct {
	appendIDs  []int64
	first, end int64
}

// runEpoch opens an epoch and runs it until the assignment ends or the epoch is
// fenced or resigned.
func (c *cell) runEpoch(parent context.Context) {
	if !c.node.assignmentValid() || c.isRefused() {
		sleep(parent, logRetryDelay)
		return
	}
	endPreparation := c.node.workers.prepare()
	defer endPreparation()
	times := takeoverTimes{assignedAt: time.Duration(c.assignedAt.Load()), began: c.node.monotonicNow()}
	opened, err := c.openEpoch(parent, &times)
	if err != nil {
		c.epochNotOpened(parent, err)
		return
	}
	c.refusal.Store(nil)
	began := c.node.monotonicNow()
	epoch, previous := opened.epoch, opened.previous
	c.node.logger.Log(logevent.EpochOpened, zap.Int("cell", c.number), zap.Int64("epoch", epoch),
		zap.Int64("generation", opened.generation), zap.Int64("offset", c.cellNext-1), zap.Int("live", len(c.ledger().Live())),
		zap.Int64("snapshot", c.snapshotNext), zap.Int64("expired", c.expiredRecords))
	ctx, cancel := context.WithCancel(parent)
	o := c.newOwnership(opened, began, cancel)
	times.readyAt = c.node.monotonicNow()
	o.times = times
	c.newestEpoch.Store(epoch)
	c.outlooks.begin(epoch, began)
	c.intakeReadAt.Store(int64(c.intakeKnownAt))
	ended := make(chan struct{})
	c.ended.Store(&ended)
	c.beginOwning()
	// The event loop changes intakeNext, so it is read before the goroutine starts.
	intakeFrom := c.intakeNext
	o.wg.Go(func() { o.tailIntake(ctx, intakeFrom) })
	c.node.workers.subscribe(ctx, o)
	o.wg.Go(func() { o.writer.run(ctx) })
	o.wg.Go(func() { o.gatherWhileSlow(ctx) })
	o.wg.Go(func() { o.requestResignation(ctx, previous.Owner) })
	o.askPreviousWitnesses(ctx, previous)
	// A hand-over goes on after the ownership.
	confirmed, endConfirmation := context.WithCancel(parent)
	o.node.wg.Go(func() { o.askWitnesses(confirmed) })
	o.wg.Go(func() { o.publishOwner(ctx, c.ledger().Owner()) })
	reason := o.guardedEventLoop(ctx)
	o.times.leftAt = c.node.monotonicNow()
	if o.leavingSince > 0 {
		o.writer.finish(ctx, flushTime)
	}
	cancel()
	if o.isHandedOver(reason) {
		o.handOver(parent, endConfirmation)
	} else {
		endConfirmation()
	}
	c.node.workers.unsubscribe(o)
	o.wg.Wait()
	o.keepLeases(reason)
	if reason == resigned || reason == fenced {
		c.contest()
	}
	c.owning.Store(false)
	c.node.metrics.reportTenants(c.number, nil)
	close(ended)
	o.reportEnd(reason)
}

// newOwnership returns the ownership of an epoch that was opened at a time.
func (c *cell) newOwnership(opened *opening, openedAt time.Duration, cancel context.CancelFunc) *ownership {
	c.witnesses.Store(witness.NewOwner())
	o := &ownership{
		cell: c, epoch: opened.epoch, firstSequence: opened.sequence, previous: opened.previous, witnesses: c.witnesses.Load(), cancel: cancel,
		machine:  dispatch.New(c.dispatchConfig(opened.epoch), c.ledger(), c.node.monotonicNow(), time.Now()),
		openedAt: openedAt, suspended: c.node.authorityNow() - c.node.monotonicNow(),
		held:   make(map[int64]notification),
		events: make(chan queuedEvent, maxQueuedEvents), reportRequests: make(chan chan<- struct{}), lastReportMade: make(chan struct{}, 1),
	}
	o.writer = newCellWriter(o)
	return o
}

// dispatchConfig returns the configuration of the machine of an epoch.
func (c *cell) dispatchConfig(epoch int64) dispatch.Config {
	config := c.node.config.Dispatch
	config.Epoch = epoch
	if config.Cells = len(c.node.cells); config.Cells > 1 {
		config.CellOf = func(id string) int { return c.node.cellOf(id).number }
	}
	config.PredecessorExpiry = c.predecessorLeaseExpiry()
	config.AuthorityDuration, config.LeaseLimit = authorityDuration, c.leaseLimit
	config.LeaseExpiryLimit = c.leaseExpiryLimit
	config.EpochAge = func(epoch int64) time.Duration { return c.node.owners.epochAge(c.number, epoch) }
	return config
}

// assignmentEnded is the reason for the end of an ownership that the node gives up.
const assignmentEnded = "assignment ended"

// fenced is the reason for the end of an ownership after which another node has opened an epoch, or
// whose node stops.
const fenced = "fenced or stopped"

// resigned is the reason for the end of an ownership that another node requested.
const resigned = "resigned"

// panicked is the reason for the end of an ownership whose state may be inconsistent.
const panicked = "panic"

// guardedEventLoop runs eventLoop. A panic there ends the ownership, not the process:
// the node goes on serving callers, and the cell's state is read again from the log
// by its next owner.
func (o *ownership) guardedEventLoop(ctx context.Context) (reason string) {
	defer func() {
		if v := recover(); v != nil {
			o.reportPanic(v)
			o.resetState()
			reason = panicked
		}
	}()
	return o.eventLoop(ctx)
}

// eventLoop passes events to the machine until the ownership ends, and returns
// the reason for its end.
func (o *ownership) eventLoop(ctx context.Context) string {
	if o.resignedEpoch.Load() >= o.epoch {
		// The request was waiting for the end of the attempt to open the epoch.
		return resigned
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	o.intakeKnown(ctx, o.intakeKnownAt)
	o.applyDeclarations(ctx)
	for {
		select {
		case <-ctx.Done():
			if o.generation.Load() == 0 && o.leavingSince == 0 {
				return assignmentEnded
			}
			return fenced
		case <-o.wake:
			if reason := o.assignmentChanged(ctx); reason != "" {
				return reason
			}
		case answer := <-o.refreshRequests:
			answer <- refreshResult{intakeNext: o.intakeNext}
		case made := <-o.reportRequests:
			o.report(o.machine.ReportedLeases(o.node.monotonicNow()))
			close(made)
		case answer := <-o.dumpRequests:
			answer <- o.machine.Dump()
		case q := <-o.capacityRequests:
			q.answer <- o.machine.FreeCapacity(q.demands)
		case n := <-o.notifications:
			o.observeWait("notifications", n.receivedAt)
			o.applyNotification(ctx, n)
		case <-o.evacuation:
			o.applyDeclarations(ctx)
		case ev := <-o.events:
			o.observeWait("events", ev.postedAt)
			if err := o.handleEvent(ctx, ev.event); err != nil {
				o.refuse(err)
				return assignmentEnded
			}
		case now := <-tick.C:
			// A tick may find leases expired, so the machine must know of the ends before.
			o.applyKnownEnds(ctx)
			o.step(ctx, dispatch.Tick{Now: now})
			o.proveEpoch()
			o.sweep()
			o.saveSnapshot(ctx)
			if o.leavingSince > 0 && o.node.monotonicNow()-o.leavingSince >= leavingTime {
				return assignmentEnded
			}
		}
	}
}

// proveEpoch appends a record without effect if a newer epoch may have been opened since
// the joins of this node were interrupted.
func (o *ownership) proveEpoch() {
	now := o.node.monotonicNow()
	if !o.authority.needsProof() || now-o.proofSentAt < proofInterval {
		return
	}
	o.proofSentAt = now
	o.writer.enqueue(dispatch.Append{Records: []*ledgerpb.Record{ledger.OpenedRecord(o.ledger().Owner())}})
}

// verifyEpoch ends the ownership if another node has opened a newer epoch. Without runs
// or records, an owner that was cut off and is assigned the cell again would not notice.
func (o *ownership) verifyEpoch(ctx context.Context) {
	o.node.owners.refresh(ctx)
	if newest := o.node.owners.owner(o.number); newest.Epoch > o.epoch {
		o.node.logger.Log(logevent.EpochFenced, zap.Int64("epoch", o.epoch), zap.String("worker", newest.VM))
		o.cancel()
	}
}

// handleEvent returns an error if the intake has a record that this version doesn't read.
func (o *ownership) handleEvent(ctx context.Context, ev any) error {
	switch ev := ev.(type) {
	case intakePageRead:
		if err := o.applyIntakePage(ctx, ev.page); err != nil {
			return err
		}
		if ev.page.AtEnd() {
			o.intakeKnown(ctx, ev.sentAt)
		}
	case batchAppended:
		if ev.first != o.cellNext {
			// The node's copy of the cell would lack records for good: reads go on from cellNext.
			panic(fmt.Sprintf("records from offset %d on are in the log, and those from %d on are not applied", ev.first, o.cellNext))
		}
		for _, id := range ev.appendIDs {
			o.step(ctx, dispatch.Appended{ID: id})
		}
		o.cellNext = ev.end
	case dispatch.Event:
		o.times.noteEvent(ev, o.node.monotonicNow())
		o.step(ctx, ev)
	}
	return nil
}

// applyIntakePage applies the records of a page that are not yet applied.
func (o *ownership) applyIntakePage(ctx context.Context, page Page) error {
	for i, data := range page.Records {
		if page.From+int64(i) < o.intakeNext {
			continue
		}
		if err := o.applyIntakeRecord(ctx, data); err != nil {
			o.unreadable = err
			return err
		}
		o.intakeNext = page.From + int64(i) + 1
	}
	o.applyHeld(ctx)
	return nil
}

func (o *ownership) applyIntakeRecord(ctx context.Context, data []byte) error {
	e, err := o.apply(data)
	if e != nil {
		o.step(ctx, dispatch.EntryChanged{Entry: e})
	}
	return err
}

// applyNotification applies the record of a notification. A submission waits until all records
// before it are applied: one of them may be another submission with its id, and every reader of the
// intake takes the first one. Another record that is not the next one of the intake is applied at
// once, and again in order when it is read from the intake.
func (o *ownership) applyNotification(ctx context.Context, n notification) {
	switch {
	case n.offset > o.intakeNext && ledger.HasSubmission(n.record):
		if len(o.held) < maxQueuedNotifications {
			o.held[n.offset] = n
		}
		return
	case n.offset >= o.intakeNext:
		// A record that this version doesn't read is met again in the intake.
		if o.applyIntakeRecord(ctx, n.record) == nil && n.offset == o.intakeNext {
			o.intakeNext++
		}
	}
	n.reportApplied()
	o.applyHeld(ctx)
}

// applyHeld applies the held notifications that are next in the intake, and removes those whose
// records were read from it.
func (o *ownership) applyHeld(ctx context.Context) {
	for n, ok := o.held[o.intakeNext]; ok; n, ok = o.held[o.intakeNext] {
		if o.applyIntakeRecord(ctx, n.record) != nil {
			break
		}
		o.intakeNext++
	}
	for offset, n := range o.held {
		if offset < o.intakeNext {
			n.reportApplied()
			delete(o.held, offset)
		}
	}
}

// post queues an event for eventLoop and reports whether it did. When ctx is done it may not, although
// the queue has room.
func (o *ownership) post(ctx context.Context, ev any) bool {
	select {
	case o.events <- queuedEvent{event: ev, postedAt: o.node.monotonicNow()}:
		return true
	case <-ctx.Done():
		return false
	}
}

// tailIntake reads new records of the intake until ctx is done.
func (o *ownership) tailIntake(ctx context.Context, from int64) {
	wait, limit := o.node.intakeWait(), newPageLimit(intakePageRecords)
	for ctx.Err() == nil {
		sent := o.node.monotonicNow()
		page, err := o.readPage(ctx, o.intakeStream(), from, limit.records, wait)
		limit.observe(o.node.monotonicNow()-sent, err)
		switch {
		case errors.Is(err, ErrExpired):
			o.cell.reportExpired(o.intakeStream(), from, page.LogStart)
			from = page.LogStart
		case err != nil:
			// Starts may wait for the next answer.
			wait = 0
			sleep(ctx, logRetryDelay)
		default:
			wait = o.node.intakeWait()
			o.post(ctx, intakePageRead{page: page, sentAt: sent})
			from = page.From + int64(len(page.Records))
		}
	}
}
