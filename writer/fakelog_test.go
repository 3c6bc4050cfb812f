package writer_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// appendBehaviour determines how the fake log handles one append.
type appendBehaviour int

const (
	succeed appendBehaviour = iota
	// refuseConnection fails with ErrNotSent and has no effect.
	refuseConnection
	// loseResponse appends and then fails.
	loseResponse
	// failAmbiguously has no effect, but fails with an error that leaves the
	// outcome unknown.
	failAmbiguously
	// hang blocks until the context ends, and has no effect.
	hang
	// appendThenHang appends immediately and blocks until the context ends.
	appendThenHang
	// hangThenAppend blocks until the context ends, and appends after
	// lateAppendDelay.
	hangThenAppend
)

var errAmbiguous = errors.New("connection reset")

// fakeLog is an in-memory hostapi.Log whose appends take appendLatency.
type fakeLog struct {
	mu      sync.Mutex
	records []hostapi.LogRecord
	callIDs []string
	// plan holds the behaviours of the next appends. When it is empty, appends
	// succeed.
	plan        []appendBehaviour
	inFlight    int
	maxInFlight int
}

const (
	appendLatency   = 10 * time.Millisecond
	lateAppendDelay = 10 * time.Second
)

func (f *fakeLog) Append(ctx context.Context, _, id string, data []byte) (int64, error) {
	next := f.begin(id)
	defer f.end()
	time.Sleep(appendLatency)
	switch next {
	case refuseConnection:
		return 0, fmt.Errorf("dial: %w", hostapi.ErrNotSent)
	case failAmbiguously:
		return 0, errAmbiguous
	case hang:
		<-ctx.Done()
		return 0, ctx.Err()
	case appendThenHang:
		f.add(id, data)
		<-ctx.Done()
		return 0, ctx.Err()
	case hangThenAppend:
		time.AfterFunc(lateAppendDelay, func() { f.add(id, data) })
		<-ctx.Done()
		return 0, ctx.Err()
	case loseResponse:
		f.add(id, data)
		return 0, errAmbiguous
	default:
		return f.add(id, data), nil
	}
}

func (f *fakeLog) begin(id string) appendBehaviour {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callIDs = append(f.callIDs, id)
	f.inFlight++
	f.maxInFlight = max(f.maxInFlight, f.inFlight)
	if len(f.plan) == 0 {
		return succeed
	}
	next := f.plan[0]
	f.plan = f.plan[1:]
	return next
}

func (f *fakeLog) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
}

func (f *fakeLog) add(id string, data []byte) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	offset := int64(len(f.records) + 1)
	f.records = append(f.records, hostapi.LogRecord{Offset: offset, ID: id, Data: data})
	return offset
}

func (f *fakeLog) Read(_ context.Context, _ string, from int64, _ int) (hostapi.LogPage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	page := hostapi.LogPage{First: 1, Next: int64(len(f.records) + 1)}
	page.Records = append(page.Records, f.records[from-1:]...)
	return page, nil
}

// ids returns the record ids of all appends so far, including failed ones.
func (f *fakeLog) ids() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.callIDs)
}

// counts returns the number of records and the highest number of concurrent
// appends.
func (f *fakeLog) counts() (records, maxInFlight int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.records), f.maxInFlight
}
