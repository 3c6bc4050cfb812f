package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// maxIntakeAppends is the maximum number of appends to an intake that a node has
	// in flight. A second one keeps a silent connection from delaying all callers.
	maxIntakeAppends = 2
	// secondAppendDelay is the age of the append in flight from which a second one
	// is sent.
	secondAppendDelay = 450 * time.Millisecond
	// maxIntakeTimeout is the maximum timeout of an append to an intake, for a store
	// that is slow.
	maxIntakeTimeout = 2 * time.Second
	// rejectionLimit is how long the store may reject a record without effect before
	// the caller is told so: other nodes may reach the store, and the caller needs
	// the rest of its time to try them.
	rejectionLimit = 600 * time.Millisecond
)

// intakeWriter appends records to a cell's intake with group commit: the records that
// arrive while an append is in flight form the next batch. With an append for each
// record, a slow store would answer none of them in time, because a partition handles
// its appends one at a time.
type intakeWriter struct {
	cell     *cell
	mu       sync.Mutex
	queue    []*intakeRecord
	inFlight int
	// timeout is the timeout of the next append.
	timeout time.Duration
}

// intakeRecord is a record that a caller waits for.
type intakeRecord struct {
	data []byte
	// queuedAt and expiresAt limit the time for which the append is tried.
	queuedAt, expiresAt time.Duration
	// rejected: the store has rejected the record without effect.
	rejected bool
	// mayBeStored: the outcome of an append of the record is unknown.
	mayBeStored bool
	// result receives nil, ErrUnavailable or ErrOutcomeUnknown.
	result chan error
}

func newIntakeWriter(c *cell) *intakeWriter { return &intakeWriter{cell: c, timeout: logTimeout} }

// append appends a record and retries until the caller's time runs out: applying a
// record again has no effect. It returns ErrUnavailable only if the record can't be
// in the log.
func (w *intakeWriter) append(ctx context.Context, data []byte) error {
	now := w.cell.node.monotonicNow()
	r := &intakeRecord{data: data, queuedAt: now, expiresAt: now + appendTimeLimit(ctx), result: make(chan error, 1)}
	w.mu.Lock()
	w.queue = append(w.queue, r)
	w.startAppend()
	w.mu.Unlock()
	select {
	case err := <-r.result:
		return err
	case <-ctx.Done():
		return ErrOutcomeUnknown
	}
}

// startAppend sends the queued records unless an append is in flight. The caller
// holds the lock.
func (w *intakeWriter) startAppend() {
	if w.inFlight > 0 || len(w.queue) == 0 {
		return
	}
	w.inFlight++
	go w.run()
}

// addSecondAppend sends the queued records beside an append that has no answer yet.
func (w *intakeWriter) addSecondAppend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inFlight < maxIntakeAppends && len(w.queue) > 0 {
		w.inFlight++
		go w.run()
	}
}

// run appends batches until the queue is empty.
func (w *intakeWriter) run() {
	for attempt := 0; ; {
		batch, timeout := w.nextBatch()
		if len(batch) == 0 {
			return
		}
		if w.appendBatch(batch, timeout) {
			attempt = 0
			continue
		}
		attempt++
		time.Sleep(retryDelay(attempt))
	}
}

// nextBatch removes the records of the next append from the queue and answers those
// whose time is over. It ends the goroutine's turn if there are none.
func (w *intakeWriter) nextBatch() ([]*intakeRecord, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cell.node.monotonicNow()
	var batch []*intakeRecord
	size, taken := 0, 0
	timeout := time.Millisecond
	for _, r := range w.queue {
		if size > maxAppendBytes {
			break
		}
		taken++
		if r.expired(now) {
			r.answerExpired()
			continue
		}
		size += len(r.data) + 4
		batch = append(batch, r)
		timeout = max(timeout, r.expiresAt-now)
	}
	w.queue = append([]*intakeRecord(nil), w.queue[taken:]...)
	if len(batch) == 0 {
		w.inFlight--
	}
	return batch, min(timeout, w.timeout)
}

// appendBatch appends a batch and answers its callers. If the append fails, the batch
// returns to the queue and appendBatch returns false.
func (w *intakeWriter) appendBatch(batch []*intakeRecord, timeout time.Duration) bool {
	n := w.cell.node
	records := make([][]byte, len(batch))
	for i, r := range batch {
		records[i] = r.data
	}
	sent := n.monotonicNow()
	second := time.AfterFunc(secondAppendDelay, w.addSecondAppend)
	defer second.Stop()
	call, cancel := context.WithTimeout(context.Background(), timeout)
	end, err := n.platform.Log.Append(call, w.cell.intakeStream(), records, nil)
	cancel()
	n.metrics.countLogCall(err)
	w.adjustTimeout(err, n.monotonicNow()-sent)
	if err != nil {
		w.requeue(batch, !errors.Is(err, ErrNoEffect))
		return false
	}
	n.recordStoreResponse()
	first := end - int64(len(batch))
	for i, r := range batch {
		r.result <- nil
		w.cell.notifyOwner(notification{offset: first + int64(i), record: r.data})
	}
	return true
}

// adjustTimeout doubles the timeout after an append without an answer, so that a slow
// store is given the time it needs, and follows the latency of answered ones.
func (w *intakeWriter) adjustTimeout(err error, latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil:
		w.timeout = min(maxIntakeTimeout, max(logTimeout, 2*latency))
	case errors.Is(err, context.DeadlineExceeded):
		w.timeout = min(maxIntakeTimeout, 2*w.timeout)
	}
}

func (w *intakeWriter) requeue(batch []*intakeRecord, mayBeStored bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range batch {
		r.rejected = r.rejected || !mayBeStored
		r.mayBeStored = r.mayBeStored || mayBeStored
	}
	w.queue = append(batch, w.queue...)
}

// expired reports whether the append is not tried any more.
func (r *intakeRecord) expired(now time.Duration) bool {
	return now >= r.expiresAt || r.rejected && !r.mayBeStored && now-r.queuedAt >= rejectionLimit
}

func (r *intakeRecord) answerExpired() {
	if r.mayBeStored {
		r.result <- ErrOutcomeUnknown
		return
	}
	r.result <- ErrUnavailable
}
