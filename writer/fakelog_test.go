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

// behaviour says what the fake log does with one append.
type behaviour int

const (
	succeed behaviour = iota
	// refuse fails without effect, like a refused connection.
	refuse
	// loseResponse appends and then fails.
	loseResponse
	// failUnknown fails without effect, but in a way that does not tell so.
	failUnknown
	// hang gives no answer until the context ends, and has no effect.
	hang
	// silent appends at once and gives no answer until the context ends.
	silent
	// late gives no answer until the context ends, and appends later.
	late
)

var errUnclear = errors.New("connection reset")

// fakeLog is a hostapi.Log in memory whose appends take 10 ms.
type fakeLog struct {
	mu      sync.Mutex
	records []hostapi.LogRecord
	calls   []string
	// plan holds the behaviour of the next appends; then they succeed.
	plan     []behaviour
	inFlight int
	most     int
}

const (
	appendTime = 10 * time.Millisecond
	lateTime   = 10 * time.Second
)

func (f *fakeLog) Append(ctx context.Context, _, id string, data []byte) (int64, error) {
	next := f.begin(id)
	defer f.end()
	time.Sleep(appendTime)
	switch next {
	case refuse:
		return 0, fmt.Errorf("dial: %w", hostapi.ErrNotSent)
	case failUnknown:
		return 0, errUnclear
	case hang:
		<-ctx.Done()
		return 0, ctx.Err()
	case silent:
		f.add(id, data)
		<-ctx.Done()
		return 0, ctx.Err()
	case late:
		time.AfterFunc(lateTime, func() { f.add(id, data) })
		<-ctx.Done()
		return 0, ctx.Err()
	case loseResponse:
		f.add(id, data)
		return 0, errUnclear
	default:
		return f.add(id, data), nil
	}
}

func (f *fakeLog) begin(id string) behaviour {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, id)
	f.inFlight++
	f.most = max(f.most, f.inFlight)
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

// ids returns the ids of all appends so far.
func (f *fakeLog) ids() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls)
}

// counts returns the number of records, and of appends in flight at most.
func (f *fakeLog) counts() (records, most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.records), f.most
}
