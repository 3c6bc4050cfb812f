package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/trace"
	"github.com/cactusreel/cactusreel/writer"
)

// resourceFeed keeps the resource store up to date with the resources stream. Only
// the follower's goroutine applies records; restoreFromPeer takes the same lock.
type resourceFeed struct {
	store    *resources.Store
	writer   *writer.Writer
	events   *logevent.Logger
	clock    Clock
	follower *follower
	// onRead is called after each read with the head of the stream at the read.
	onRead func(head int64, sentAt time.Duration)
	// onApplied is called after the store's offset has increased.
	onApplied func(offset int64)

	// trace records the store's inputs.
	trace tracedMachine

	mu  sync.Mutex
	gap gapBuffer
	// outcomes notifies the submitters of this process.
	outcomes *outcomeNotifier
	// recordsSinceSnapshot counts records since the newest complete snapshot.
	recordsSinceSnapshot atomic.Int64
	// snapshotReadAt is when the newest complete snapshot was read, in nanoseconds.
	snapshotReadAt atomic.Int64
	// snapshotAttemptedAt is when this VM last started to append a snapshot. Only
	// the snapshot loop uses it.
	snapshotAttemptedAt time.Duration
}

func newResourceFeed(log hostapi.Log, w *writer.Writer, events *logevent.Logger, clock Clock, poll time.Duration) *resourceFeed {
	f := &resourceFeed{
		store:    resources.New(resources.Limits{}),
		writer:   w,
		events:   events,
		clock:    clock,
		outcomes: newOutcomeNotifier(),
	}
	f.follower = &follower{
		log:         log,
		stream:      record.ResourcesStream,
		clock:       clock,
		poll:        poll,
		apply:       f.applyPage,
		onTruncated: f.onTruncated,
		onError:     func(error) {},
		wake:        make(chan struct{}, 1),
	}
	return f
}

func (f *resourceFeed) run(ctx context.Context) {
	f.follower.run(ctx)
}

// onTruncated restarts from the first record that the log still keeps. Records are
// buffered until they contain a complete snapshot.
func (f *resourceFeed) onTruncated(page hostapi.LogPage) int64 {
	f.events.Log(logevent.RecordsMissing, zap.String("stream", record.ResourcesStream), zap.Int64("have", f.store.View().Offset()), zap.Int64("first", page.First))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gap.reset()
	return page.First
}

func (f *resourceFeed) applyPage(page hostapi.LogPage, sentAt time.Duration) {
	f.mu.Lock()
	before := f.store.View().Offset()
	for _, r := range page.Records {
		f.applyRecord(r)
	}
	after := f.store.View().Offset()
	f.mu.Unlock()
	if after > before {
		f.onApplied(after)
	}
	f.onRead(page.Next-1, sentAt)
}

// applyRecord applies a record, or buffers it until a snapshot covers the gap
// before it.
func (f *resourceFeed) applyRecord(r hostapi.LogRecord) {
	batch, err := record.DecodeBatch(r.Data)
	if err != nil {
		// Every reader skips the same malformed record.
		batch = nil
		f.events.Log(logevent.RecordUndecodable, zap.String("stream", record.ResourcesStream), zap.Int64("offset", r.Offset), zap.Error(err))
	}
	if f.gap.addChunks(batch) {
		f.recordsSinceSnapshot.Store(0)
		f.snapshotReadAt.Store(int64(f.clock()))
	}
	ops := decodeOperations(batch)
	f.trace.event(f.clock(), trace.NewOperationsApplied(r.Offset, ops))
	outcomes, err := f.store.Apply(r.Offset, ops...)
	if errors.Is(err, resources.ErrGap) {
		f.gap.addRecord(r)
		f.restoreFromStream()
		return
	}
	f.recordsSinceSnapshot.Add(1)
	f.outcomes.publish(outcomes)
	f.writer.Observed(r.ID, r.Offset)
}

// restoreFromStream restores the newest complete snapshot of the stream if it
// covers the gap, then applies the buffered records.
func (f *resourceFeed) restoreFromStream() {
	snapshot, ok := f.gap.coveringSnapshot(f.store.View().Offset())
	if !ok {
		return
	}
	f.trace.event(f.clock(), trace.SnapshotRestored{Data: snapshot.Data})
	if _, err := f.store.Restore(snapshot.Data); err != nil {
		f.events.Log(logevent.SnapshotIgnored, zap.String("stream", record.ResourcesStream), zap.Int64("offset", snapshot.Covered), zap.Error(err))
		return
	}
	for _, r := range f.gap.releaseAfter(f.store.View().Offset()) {
		f.applyRecord(r)
	}
}

// restoreFromPeer restores a peer's snapshot if it is newer than the store, and
// reports whether it did. It is used while the log can't be reached directly.
func (f *resourceFeed) restoreFromPeer(data []byte) (bool, error) {
	f.mu.Lock()
	f.trace.event(f.clock(), trace.SnapshotRestored{Data: data})
	adopted, err := f.store.Restore(data)
	offset := f.store.View().Offset()
	f.mu.Unlock()
	if adopted {
		f.onApplied(offset)
	}
	return adopted, err
}

// snapshot returns the encoded store and its offset.
func (f *resourceFeed) snapshot() ([]byte, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.Snapshot()
}

// duplicate returns the outcome of an operation whose id has been applied before.
func (f *resourceFeed) duplicate(op resources.Operation) (resources.Outcome, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.Duplicate(op)
}

// outcome returns the outcome of an operation that has been applied.
func (f *resourceFeed) outcome(id string) (resources.Outcome, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store.Outcome(id)
}
