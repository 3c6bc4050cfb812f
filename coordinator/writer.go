package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/gather"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/logevent"
)

// flushPollInterval is the time between two looks at whether all records are in the log.
const flushPollInterval = 2 * time.Millisecond

// cellWriter appends an owner's records with group commit: records that arrive
// while an append is in flight form the next batch. While the store is slow, several
// appends are in flight, at a distance: a start waits for its record. Their sequence
// numbers keep them in order. An append is retried with the same sequence number until
// its outcome is known.
type cellWriter struct {
	ownership *ownership
	mu        sync.Mutex
	queue     []dispatch.Append
	wake      chan struct{}
	pacer     gather.Pacer
	// repeating is the number of batches in flight whose append is being repeated.
	repeating int
	// last is the newest batch.
	last *cellBatch
}

// cellBatch is a batch of records for a cell stream.
type cellBatch struct {
	records   [][]byte
	appendIDs []int64
	// sequence is the sequence number; the first one is that of the Opened record.
	sequence int64
	// end is the offset after its records: no other node appends to the stream in this epoch.
	end int64
	// before is the batch before this one, or nil. posted is closed when the owner has been
	// told that this one is in the log.
	before *cellBatch
	posted chan struct{}
}

func newCellWriter(o *ownership) *cellWriter {
	return &cellWriter{ownership: o, wake: make(chan struct{}, 1), last: newCellBatch(o.firstSequence, o.cellNext, nil)}
}

func newCellBatch(sequence, end int64, before *cellBatch) *cellBatch {
	return &cellBatch{sequence: sequence, end: end, before: before, posted: make(chan struct{})}
}

// enqueue adds an append to the end of the queue.
func (w *cellWriter) enqueue(a dispatch.Append) {
	w.mu.Lock()
	w.queue = append(w.queue, a)
	w.mu.Unlock()
	signal(w.wake)
}

func (w *cellWriter) run(ctx context.Context) {
	close(w.last.posted)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		for ctx.Err() == nil {
			batch := w.nextBatch()
			if batch == nil {
				break
			}
			w.ownership.wg.Go(func() {
				w.appendBatch(ctx, batch)
				w.noteEnded()
			})
		}
	}
}

func (w *cellWriter) noteEnded() {
	w.mu.Lock()
	w.pacer.Ended()
	w.mu.Unlock()
	signal(w.wake)
}

func (w *cellWriter) isIdle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) == 0 && w.pacer.Idle()
}

// finish waits until the queue is empty and its records are in the log, for a limited time. An
// append whose outcome is unknown could let the successor read too little.
func (w *cellWriter) finish(ctx context.Context, limit time.Duration) {
	for began := w.ownership.node.monotonicNow(); !w.isIdle() && w.ownership.node.monotonicNow()-began < limit; {
		if !sleep(ctx, flushPollInterval) {
			return
		}
	}
}

// nextBatch removes queued appends, up to the size of one call. It returns nil if the queue
// is empty, if the next append has to wait, or if a record can't be encoded, which ends the
// ownership.
func (w *cellWriter) nextBatch() *cellBatch {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 || w.repeating > 0 {
		return nil
	}
	now := w.ownership.node.monotonicNow()
	wait, ok := w.pacer.WaitInOrder(now, w.ownership.node.storeLatency.isSlow())
	if !ok || wait > 0 {
		if ok {
			time.AfterFunc(wait, func() { signal(w.wake) })
		}
		return nil
	}
	batch := newCellBatch(w.last.sequence+1, w.last.end, w.last)
	size, taken := 0, 0
	for _, a := range w.queue {
		if size > maxAppendBytes {
			break
		}
		for _, r := range a.Records {
			data, err := ledger.Encode(r)
			if err != nil {
				w.ownership.node.logError(logevent.BadLedgerRecord, err, zap.Int("cell", w.ownership.number))
				w.ownership.cancel()
				return nil
			}
			size += len(data) + 4
			batch.records = append(batch.records, data)
			batch.end++
		}
		batch.appendIDs = append(batch.appendIDs, a.ID)
		taken++
	}
	w.queue = append([]dispatch.Append(nil), w.queue[taken:]...)
	w.last = batch
	w.pacer.Sent(now)
	return batch
}

// appendBatch appends one batch and tells the owner. It returns then, or when the ownership
// has ended.
func (w *cellWriter) appendBatch(ctx context.Context, b *cellBatch) {
	o := w.ownership
	for attempt := 1; ctx.Err() == nil; attempt++ {
		call, cancel := context.WithTimeout(ctx, logTimeout)
		sent, sentAuthority := o.node.monotonicNow(), o.node.authorityNow()
		done := o.node.storeLatency.sent()
		end, err := o.node.platform.Log.Append(call, o.cellStream(), b.records, &Fence{Epoch: o.epoch, Sequence: b.sequence, ExpectedEnd: -1})
		done(err)
		cancel()
		o.node.metrics.countLogCall(err)
		if err == nil {
			o.node.recordStoreResponse()
			if end != b.end {
				o.reportMisplaced(o.epoch, b.end, end)
				o.cancel()
				return
			}
			if attempt == 1 {
				// A repeated append may have taken effect at the first attempt.
				o.authority.proven(sentAuthority)
			}
			latency := o.node.monotonicNow() - sent
			o.node.metrics.observeAppend(latency)
			w.noteAnswered(latency, attempt > 1)
			w.post(ctx, b)
			return
		}
		if errors.Is(err, ErrFenced) {
			o.node.logger.Log(logevent.EpochFenced, zap.Int64("epoch", o.epoch), zap.String("worker", "log"))
			o.cancel()
			return
		}
		if attempt == 1 {
			w.noteRepeating()
			if ctx.Err() == nil {
				o.node.logError(logevent.AppendRepeated, err, zap.Int("cell", o.number), zap.Int("records", len(b.records)))
			}
		}
		sleep(ctx, retryDelay(attempt))
	}
}

// noteRepeating keeps further appends back until this one has been answered.
func (w *cellWriter) noteRepeating() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.repeating++
}

func (w *cellWriter) noteAnswered(latency time.Duration, repeated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pacer.Answered(w.ownership.node.monotonicNow(), latency)
	if repeated {
		w.repeating--
	}
}

// post tells the owner that a batch is in the log, unless it has not been told of the batch before it:
// at the end of an ownership the owner may be told of no more batches, but skips none.
func (w *cellWriter) post(ctx context.Context, b *cellBatch) {
	select {
	case <-b.before.posted:
	case <-ctx.Done():
		return
	}
	first := b.before.end
	b.before = nil
	if w.ownership.post(ctx, batchAppended{appendIDs: b.appendIDs, first: first, end: b.end}) {
		close(b.posted)
	}
}

// reportMisplaced reports an answer of the log by which an append ended at another offset than it must.
func (c *cell) reportMisplaced(epoch, expected, end int64) {
	c.node.logger.Log(logevent.AppendMisplaced, zap.Int("cell", c.number), zap.Int64("epoch", epoch),
		zap.Int64("expected", expected), zap.Int64("end", end))
}
