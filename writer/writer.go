package writer

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/result"
)

// maxWithdrawnSlack is the number of withdrawn items that pending may hold even
// if it holds no other items.
const maxWithdrawnSlack = 64

// Writer appends to one stream. Items are sent only while Run is running. Its
// methods are safe for concurrent use.
type Writer struct {
	log     hostapi.Log
	options Options
	// wake holds a token if there may be items to send.
	wake chan struct{}

	mu sync.Mutex
	// pending holds the items that are not in a batch. Withdrawn items stay in it
	// until removeWithdrawn is called.
	pending []*Submission
	// waitingCount is the number of items in pending that were not withdrawn.
	waitingCount int
	current      *batch
	sequence     uint64
	stopped      bool
	stats        Stats
}

// New returns a writer. Nothing is sent before Run is called.
func New(log hostapi.Log, options Options) *Writer {
	return &Writer{
		log:      log,
		options:  options.withDefaults(),
		wake:     make(chan struct{}, 1),
		sequence: options.LastSequence,
	}
}

// Submit queues an encoded item, which must not be modified afterwards. An error
// means that the item was not queued and will not be sent: it has the code
// TooLarge if the item is too large, and NotRunLogUnavailable if too many items
// are queued or the writer has stopped.
func (w *Writer) Submit(item []byte) (*Submission, error) {
	if len(item)+maxVarintBytes > w.options.MaxBatchBytes {
		return nil, result.Errorf(result.TooLarge, "record has %d bytes, which exceeds the size limit of a batch", len(item))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil, result.Errorf(result.NotRunLogUnavailable, "the writer of stream %s has stopped", w.options.Stream)
	}
	if w.waitingCount >= w.options.MaxPending {
		return nil, result.Errorf(result.NotRunLogUnavailable, "%d records are already queued for stream %s", w.waitingCount, w.options.Stream)
	}
	s := &Submission{writer: w, item: item, done: make(chan struct{})}
	w.pending = append(w.pending, s)
	w.waitingCount++
	w.wakeRun()
	return s, nil
}

// Observed reports to the writer that the record with this id was read back at
// offset. The application's reader must call it for every record of the stream,
// in order; duplicates and ids of other writers are ignored. A reader that starts
// from a snapshot must also call it for the highest id of this incarnation that
// the snapshot covers.
func (w *Writer) Observed(id string, offset int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.current
	if b == nil || b.id != id || b.observed {
		return
	}
	b.observed = true
	b.finish(Result{Outcome: Accepted, Offset: offset})
	w.stats.Batches++
	w.stats.Items += int64(len(b.items))
	close(b.done)
}

// LastSequence returns the highest sequence number used so far.
func (w *Writer) LastSequence() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sequence
}

// Stats returns the present values of the counters.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	stats := w.stats
	stats.Pending = w.waitingCount
	return stats
}

// Run sends batches until ctx ends, and returns the error of ctx. Submissions
// without a final result then become NotSent or Unknown. Run must be called
// only once.
func (w *Writer) Run(ctx context.Context) error {
	defer w.finishAll()
	var lastStart time.Time
	for ctx.Err() == nil {
		if w.idle() {
			waitFor(ctx, w.wake)
			continue
		}
		if !lastStart.IsZero() {
			sleep(ctx, nil, w.options.Interval-time.Since(lastStart))
		}
		lastStart = time.Now()
		b := w.nextBatch()
		if b != nil {
			w.deliver(ctx, b)
		}
	}
	return ctx.Err()
}

// deliver retries the append of b until the record was read back, all items
// were withdrawn, or ctx has ended.
func (w *Writer) deliver(ctx context.Context, b *batch) {
	failures := 0
	for ctx.Err() == nil && w.beginAppend(b) {
		offset, err := w.append(ctx, b)
		if w.endAppend(b, err) {
			return
		}
		delay := w.options.ReadBackTimeout
		if err != nil {
			failures++
			delay = w.options.backoff(failures)
		} else {
			failures = 0
		}
		w.runCallbacks(b, offset, err)
		sleep(ctx, b.done, delay)
	}
}

func (w *Writer) append(ctx context.Context, b *batch) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, w.options.AppendTimeout)
	defer cancel()
	go func() {
		// Cancel the append as soon as the record was read back.
		waitFor(ctx, b.done)
		cancel()
	}()
	return w.log.Append(ctx, w.options.Stream, b.id, b.data)
}

func (w *Writer) runCallbacks(b *batch, offset int64, err error) {
	if err == nil && w.options.Appended != nil {
		w.options.Appended(b.id, offset)
	}
	if err != nil && w.options.Failed != nil {
		w.options.Failed(b.id, err)
	}
}

// beginAppend prepares an append of b and reports whether one is needed.
func (w *Writer) beginAppend(b *batch) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.observed || len(b.items) == 0 {
		w.current = nil
		return false
	}
	if !b.sent {
		b.encode(w.options.Frame)
	}
	b.sending = true
	w.stats.Appends++
	return true
}

// endAppend records the result of an append and reports whether b was read back
// in the meantime. In that case the append was cancelled, and its error does not
// count as a failure.
func (w *Writer) endAppend(b *batch, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	b.sending = false
	if b.observed {
		w.current = nil
		return true
	}
	if !errors.Is(err, hostapi.ErrNotSent) {
		b.sent = true
	}
	if err != nil {
		w.stats.Failures++
	}
	return false
}

// idle reports whether there are no items to send.
func (w *Writer) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.waitingCount == 0
}

// nextBatch moves the longest prefix of the pending items that fits in a batch
// into a new batch, or returns nil if there are no items.
func (w *Writer) nextBatch() *batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeWithdrawn()
	size := 0
	count := 0
	for _, s := range w.pending {
		size += len(s.item) + maxVarintBytes
		if count == w.options.MaxBatchItems || size > w.options.MaxBatchBytes {
			break
		}
		count++
	}
	if count == 0 {
		return nil
	}
	w.sequence++
	id := record.ID{Incarnation: w.options.Incarnation, Sequence: w.sequence}
	b := &batch{id: id.String(), done: make(chan struct{})}
	b.items = slices.Clone(w.pending[:count])
	for _, s := range b.items {
		s.batch = b
	}
	w.pending = slices.Delete(w.pending, 0, count)
	w.waitingCount -= count
	w.current = b
	return b
}

// finishAll sets the final results of all submissions.
func (w *Writer) finishAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	for _, s := range w.pending {
		s.finish(Result{Outcome: NotSent})
	}
	w.pending = nil
	w.waitingCount = 0
	b := w.current
	if b == nil || b.observed {
		return
	}
	outcome := NotSent
	if b.mayReachLog() {
		outcome = Unknown
	}
	b.finish(Result{Outcome: outcome})
}

// countWithdrawal records the withdrawal of a pending item. Withdrawn items are
// removed in bulk, so that a burst of withdrawals takes linear time. w.mu must
// be held.
func (w *Writer) countWithdrawal() {
	w.waitingCount--
	if len(w.pending) > 2*w.waitingCount+maxWithdrawnSlack {
		w.removeWithdrawn()
	}
}

func (w *Writer) removeWithdrawn() {
	w.pending = slices.DeleteFunc(w.pending, func(s *Submission) bool { return s.final })
}

func (w *Writer) wakeRun() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func waitFor(ctx context.Context, c <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-c:
	}
}

// sleep waits for d, or until ctx ends or c is closed.
func sleep(ctx context.Context, c <-chan struct{}, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c:
	case <-timer.C:
	}
}
