package peer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/peer/peerpb"
)

// Timeouts of direct and relayed requests.
const (
	// directTimeout bounds a direct request to the log. After it, peers are
	// tried.
	directTimeout = 700 * time.Millisecond
	// relayTimeout bounds a request that is relayed through one peer.
	relayTimeout = 1500 * time.Millisecond
	// directRetryInterval is the time for which only peers are used after a
	// direct request has failed. Without it, each request during an outage would
	// first wait for directTimeout.
	directRetryInterval = 2 * time.Second
)

// RelayLog is a hostapi.Log that falls back to peers when the log can't be
// reached directly. A relayed append may duplicate an append that took effect;
// readers drop duplicates by their record id.
type RelayLog struct {
	direct hostapi.Log
	peers  func() []*Client
	now    func() time.Duration
	// directFailedAt is the time at which the last direct request failed, in
	// nanoseconds of the monotonic clock, or 0 if it succeeded.
	directFailedAt atomic.Int64
}

// NewRelayLog returns a log that tries direct first, then the peers in the order
// in which peers returns them. now reads a monotonic clock.
func NewRelayLog(direct hostapi.Log, peers func() []*Client, now func() time.Duration) *RelayLog {
	return &RelayLog{direct: direct, peers: peers, now: now}
}

// DirectReachable reports whether the last direct request succeeded.
func (l *RelayLog) DirectReachable() bool {
	return l.directFailedAt.Load() == 0
}

// Append implements hostapi.Log.
func (l *RelayLog) Append(ctx context.Context, stream, id string, data []byte) (int64, error) {
	offset, err := l.appendDirect(ctx, stream, id, data)
	if err == nil {
		return offset, nil
	}
	maybeSent := !errors.Is(err, hostapi.ErrNotSent)
	for _, client := range l.peers() {
		offset, relayErr := relayAppend(ctx, client, stream, id, data)
		if relayErr == nil {
			return offset, nil
		}
		maybeSent = maybeSent || !errors.Is(relayErr, hostapi.ErrNotSent)
	}
	if maybeSent {
		return 0, errAppendUnknown
	}
	return 0, err
}

// errAppendUnknown replaces an error that wraps ErrNotSent if another attempt of
// the same append may have reached the log.
var errAppendUnknown = errors.New("append outcome unknown")

func (l *RelayLog) appendDirect(ctx context.Context, stream, id string, data []byte) (int64, error) {
	if !l.shouldTryDirect() {
		return 0, errDirectSkipped
	}
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	offset, err := l.direct.Append(ctx, stream, id, data)
	l.recordDirectResult(err)
	return offset, err
}

// Read implements hostapi.Log.
func (l *RelayLog) Read(ctx context.Context, stream string, from int64, limit int) (hostapi.LogPage, error) {
	page, err := l.readDirect(ctx, stream, from, limit)
	if err == nil || errors.Is(err, hostapi.ErrTruncated) {
		return page, err
	}
	for _, client := range l.peers() {
		page, relayErr := relayRead(ctx, client, stream, from, limit)
		if relayErr == nil || errors.Is(relayErr, hostapi.ErrTruncated) {
			return page, relayErr
		}
	}
	return hostapi.LogPage{}, err
}

func (l *RelayLog) readDirect(ctx context.Context, stream string, from int64, limit int) (hostapi.LogPage, error) {
	if !l.shouldTryDirect() {
		return hostapi.LogPage{}, errDirectSkipped
	}
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	page, err := l.direct.Read(ctx, stream, from, limit)
	l.recordDirectResult(err)
	return page, err
}

// errDirectSkipped means that no direct request was sent, because one failed
// within directRetryInterval.
var errDirectSkipped = notSentError("direct request to the log skipped: an earlier one failed recently")

type notSentError string

func (e notSentError) Error() string { return string(e) }
func (e notSentError) Unwrap() error { return hostapi.ErrNotSent }

func (l *RelayLog) shouldTryDirect() bool {
	failed := l.directFailedAt.Load()
	return failed == 0 || l.now() > time.Duration(failed)+directRetryInterval
}

func (l *RelayLog) recordDirectResult(err error) {
	if err == nil || errors.Is(err, hostapi.ErrTruncated) {
		l.directFailedAt.Store(0)
		return
	}
	l.directFailedAt.Store(max(1, int64(l.now())))
}

func relayAppend(ctx context.Context, client *Client, stream, id string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	response, err := client.AppendLog(ctx, &peerpb.AppendLogRequest{Stream: stream, Id: id, Data: data})
	if err != nil {
		return 0, markNotSent(err)
	}
	if response.NotSent {
		return 0, hostapi.ErrNotSent
	}
	return response.Offset, nil
}

func relayRead(ctx context.Context, client *Client, stream string, from int64, limit int) (hostapi.LogPage, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	response, err := client.ReadLog(ctx, &peerpb.ReadLogRequest{Stream: stream, From: from, Limit: int32(min(limit, maxRelayRecords))})
	if err != nil {
		return hostapi.LogPage{}, err
	}
	page := hostapi.LogPage{First: response.First, Next: response.Next}
	if response.Truncated {
		return page, hostapi.ErrTruncated
	}
	for _, r := range response.Records {
		page.Records = append(page.Records, hostapi.LogRecord{Offset: r.Offset, ID: r.Id, Data: r.Data})
	}
	return page, nil
}

// maxRelayRecords bounds the records of one relayed read.
const maxRelayRecords = 1000
