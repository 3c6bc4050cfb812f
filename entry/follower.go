package entry

import (
	"context"
	"errors"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// pageLimit is the maximum number of records of one read of the log.
const pageLimit = 1000

// follower reads a stream of the log continuously from an offset on.
type follower struct {
	log    hostapi.Log
	stream string
	clock  Clock
	// poll is the wait after a read that found nothing new or failed.
	poll time.Duration
	// apply processes a page that was read by a request sent at sentAt.
	apply func(page hostapi.LogPage, sentAt time.Duration)
	// onTruncated is called when the log no longer keeps the next offset. It
	// returns the offset to continue from.
	onTruncated func(page hostapi.LogPage) int64
	// onError is called when a read fails.
	onError func(err error)
	// wake ends the wait between two reads. It may be nil.
	wake       chan struct{}
	nextOffset int64
}

// readNow ends the wait for the next read.
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

// waitForNextRead waits until the poll interval has passed or readNow is called.
func (f *follower) waitForNextRead(ctx context.Context) {
	timer := time.NewTimer(f.poll)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wake:
	}
}

// step reads one page and reports whether more records are available already.
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

// sleep waits for d. It returns false if the context ends first.
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
