package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// pageLimit bounds the records of one read of the log.
const pageLimit = 1000

// follower reads a stream of the log from an offset on, for ever.
type follower struct {
	log    hostapi.Log
	stream string
	clock  Clock
	// poll is the time between reads that found nothing new.
	poll time.Duration
	// apply takes a page that was read by a request sent at sentAt.
	apply func(page hostapi.LogPage, sentAt time.Duration)
	// onTruncated is called when the next offset is no longer kept; it returns
	// the offset to go on from.
	onTruncated func(page hostapi.LogPage) int64
	// onError is called when a read fails.
	onError func(err error)
	// wake ends the wait between two reads. It may be nil.
	wake       chan struct{}
	nextOffset int64
}

// readNow makes the follower read at once.
func (f *follower) readNow() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// run follows the stream until the context ends.
func (f *follower) run(ctx context.Context) {
	if f.nextOffset == 0 {
		f.nextOffset = 1
	}
	for ctx.Err() == nil {
		if f.step(ctx) {
			continue
		}
		f.waitForNextRead(ctx)
	}
}

// waitForNextRead waits for the poll interval or a nudge.
func (f *follower) waitForNextRead(ctx context.Context) {
	timer := time.NewTimer(f.poll)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wake:
	}
}

// step reads one page and reports whether there may be more to read at once.
func (f *follower) step(ctx context.Context) bool {
	sentAt := f.clock()
	page, err := f.log.Read(ctx, f.stream, f.nextOffset, pageLimit)
	if errors.Is(err, hostapi.ErrTruncated) {
		f.nextOffset = f.onTruncated(page)
		return true
	}
	if err != nil {
		if ctx.Err() == nil {
			f.onError(err)
		}
		return false
	}
	f.apply(page, sentAt)
	if len(page.Records) == 0 {
		return false
	}
	f.nextOffset = page.Records[len(page.Records)-1].Offset + 1
	return f.nextOffset < page.Next
}

// sleep waits for d and reports whether the context is still in force.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
