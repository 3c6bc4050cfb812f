package coordinator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/gather"
	"github.com/cactusreel/cactusreel/ledger"
)

const (
	// maxIntakeTimeout is the maximum timeout of an append to an intake, for a store
	// that is slow: the store rejects an append for which it has no time within 2 s.
	maxIntakeTimeout = 2 * time.Second
	// rejectionLimit is how long the store may reject a record without effect before
	// the caller is told so: other nodes may reach the store, and the caller needs
	// the rest of its time to try them.
	rejectionLimit = 600 * time.Millisecond
)

// intakeWriter brings records to a cell's intake. It appends them with group commit: the
// records that arrive while an append is in flight form the next batch. With an append for
// each record, a slow store would answer none in time, because a partition handles its
// appends one at a time. While the store is slow it passes them on to a node that gathers
// those of all nodes.
type intakeWriter struct {
	cell     *cell
	mu       sync.Mutex
	queue    []*intakeRecord
	pacer    gather.Pacer
	failures int
	// timeout is the timeout of the next append.
	timeout time.Duration
	// resume runs schedule again when the next append may be sent.
	resume *time.Timer
	sender gather.Sender
	// passing is the number of calls in flight that pass records on.
	passing int
	// passingTo is the address to which records are passed on, if they are.
	passingTo string
}

// intakeRecord is a record that a caller waits for.
type intakeRecord struct {
	data []byte
	// queuedAt and expiresAt limit the time for which the append is tried.
	queuedAt, expiresAt time.Duration
	// appendHere: this node appends the record itself. It has been passed on before, or comes from
	// another node.
	appendHere bool
	// rejected: the store has rejected the record without effect.
	rejected bool
	// mayBeStored: the outcome of an append of the record is unknown.
	mayBeStored bool
	// result receives nil, ErrUnavailable or ErrOutcomeUnknown, and for a submission that is in the
	// log also ErrIDInUse or errUndecided.
	result chan error
}

func newIntakeWriter(c *cell) *intakeWriter { return &intakeWriter{cell: c, timeout: logTimeout} }

// append appends a record and retries until the caller's time runs out: applying a
// record again has no effect. It returns ErrUnavailable only if the record can't be
// in the log. A submission that is in the log may have ErrIDInUse or errUndecided.
func (w *intakeWriter) append(ctx context.Context, data []byte) error {
	r := w.enqueue([][]byte{data}, appendTimeLimit(ctx), false)[0]
	select {
	case err := <-r.result:
		return err
	case <-ctx.Done():
		return ErrOutcomeUnknown
	}
}

// enqueue adds records whose append is tried for a time. With appendHere they are not passed on.
func (w *intakeWriter) enqueue(records [][]byte, limit time.Duration, appendHere bool) []*intakeRecord {
	now := w.cell.node.monotonicNow()
	added := make([]*intakeRecord, len(records))
	for i, data := range records {
		added[i] = &intakeRecord{data: data, queuedAt: now, expiresAt: now + limit, appendHere: appendHere, result: make(chan error, 1)}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, added...)
	w.schedule()
	return added
}

// schedule passes the queued records on or appends them, or sets a timer for the time at
// which that may be done. The caller holds the lock.
func (w *intakeWriter) schedule() {
	now := w.cell.node.monotonicNow()
	w.passRecords(now)
	for len(w.queue) > 0 {
		slow := w.cell.node.storeLatency.isSlow()
		wait, ok := w.pacer.Wait(now, slow)
		if !ok || wait > 0 {
			// A call in flight may show by then that the store is slow.
			w.resumeIn(gather.SlowAnswer, wait, ok)
			return
		}
		batch, timeout := w.nextBatch(now, slow)
		if len(batch) == 0 {
			return
		}
		w.pacer.Sent(now)
		go w.runAppend(batch, timeout)
	}
}

// resumeIn runs schedule after the shorter one of two times; the second one counts only if it is set.
func (w *intakeWriter) resumeIn(after, wait time.Duration, set bool) {
	if set {
		after = min(after, wait)
	}
	if w.resume == nil {
		w.resume = time.AfterFunc(after, w.reschedule)
		return
	}
	w.resume.Reset(after)
}

func (w *intakeWriter) reschedule() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.schedule()
}

// runAppend appends a batch. After a failure it keeps its place among the appends in flight
// for a delay.
func (w *intakeWriter) runAppend(batch []*intakeRecord, timeout time.Duration) {
	err := w.appendBatch(batch, timeout)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.failures = 0
	} else {
		w.failures++
		delay := retryDelay(w.failures)
		w.requeue(batch, !errors.Is(err, ErrNoEffect))
		w.passRecords(w.cell.node.monotonicNow())
		w.mu.Unlock()
		time.Sleep(delay)
		w.mu.Lock()
	}
	w.pacer.Ended()
	w.schedule()
}

// nextBatch removes the records of the next append from the queue and answers those
// whose time is over, or too short for an answer of a slow store. The caller holds the lock.
func (w *intakeWriter) nextBatch(now time.Duration, slow bool) ([]*intakeRecord, time.Duration) {
	var batch []*intakeRecord
	size, taken := 0, 0
	timeout := time.Millisecond
	for _, r := range w.queue {
		if size > maxAppendBytes {
			break
		}
		taken++
		if r.expired(now) || !r.mayBeStored && w.pacer.TooLate(now, r.expiresAt-now, slow) {
			r.answerExpired()
			continue
		}
		size += len(r.data) + 4
		batch = append(batch, r)
		timeout = max(timeout, r.expiresAt-now)
	}
	w.queue = slices.Clone(w.queue[taken:])
	return batch, timeout
}

// appendBatch appends a batch and answers its callers.
func (w *intakeWriter) appendBatch(batch []*intakeRecord, limit time.Duration) error {
	n := w.cell.node
	records := make([][]byte, len(batch))
	repeats := 0
	for i, r := range batch {
		records[i] = r.data
		if r.mayBeStored {
			repeats++
		}
	}
	n.metrics.observeIntakeAppend(len(batch), repeats)
	sent := n.monotonicNow()
	call, cancel := w.appendContext(limit)
	done := n.storeLatency.sent()
	end, err := n.platform.Log.Append(call, w.cell.intakeStream(), records, nil)
	done(err)
	timedOut := call.Err() != nil
	cancel()
	n.metrics.countLogCall(err)
	w.adjustTimeout(err, timedOut, n.monotonicNow()-sent)
	if err != nil {
		return err
	}
	n.recordStoreResponse()
	first := end - int64(len(batch))
	for i, r := range batch {
		w.stored(r, first+int64(i))
	}
	return nil
}

// stored tells the cell's owner of a record that is in the intake, and answers its caller. That of
// a submission is answered when the owner has decided whether it has its id, or takes too long.
func (w *intakeWriter) stored(r *intakeRecord, offset int64) {
	n := notification{offset: offset, record: r.data}
	if !ledger.HasSubmission(r.data) {
		r.result <- nil
		w.cell.notifyOwner(n)
		return
	}
	go func() { r.result <- w.cell.decide(n, min(decisionTimeout, (r.expiresAt-r.queuedAt)/decisionTimeShare)) }()
}

// appendContext returns the context of an append that is tried for a time at most. It ends after
// the timeout if the store is not slow then. Otherwise the append may still wait in the stream's
// queue, and a repetition would only make that longer.
func (w *intakeWriter) appendContext(limit time.Duration) (context.Context, context.CancelFunc) {
	w.mu.Lock()
	timeout := w.timeout
	w.mu.Unlock()
	call, cancel := context.WithTimeout(context.Background(), min(limit, maxIntakeTimeout))
	if timeout >= min(limit, maxIntakeTimeout) {
		return call, cancel
	}
	check := time.AfterFunc(timeout, func() {
		if !w.mayStillWait() {
			cancel()
		}
	})
	return call, func() { check.Stop(); cancel() }
}

// mayStillWait reports whether an append without an answer may wait in the stream's queue: the
// store is slow, but answers this node or the owner.
func (w *intakeWriter) mayStillWait() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cell.node.storeLatency.isAnsweringSlowly() || w.sender.IsInvited(w.cell.node.monotonicNow())
}

// adjustTimeout doubles the timeout after an append without an answer, so that a slow
// store is given the time it needs, and follows the latency of answered ones.
func (w *intakeWriter) adjustTimeout(err error, timedOut bool, latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err == nil:
		w.timeout = min(maxIntakeTimeout, max(logTimeout, 2*latency))
		w.pacer.Answered(w.cell.node.monotonicNow(), latency)
	case timedOut:
		w.timeout = min(maxIntakeTimeout, 2*w.timeout)
	}
}

// requeue returns records whose append has failed to the queue. The caller holds the lock.
func (w *intakeWriter) requeue(batch []*intakeRecord, mayBeStored bool) {
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
