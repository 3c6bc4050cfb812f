package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/operator"
	"github.com/cactusreel/cactusreel/result"
)

// watchSilence is the time without a line, bookmarks included, after which a
// watch's connection is taken for silent: four bookmark intervals.
const watchSilence = 4 * operator.DefaultBookmarkInterval

// Bounds of the delay before a watch is opened again.
const (
	minReopenDelay = 250 * time.Millisecond
	maxReopenDelay = 10 * time.Second
)

// Watch calls handle for each line after the version since, bookmarks
// included, and returns the version to resume from with the reason for its
// end. The code result.ListAgain means that changes are no longer kept.
func (c *Client) Watch(ctx context.Context, kind api.Kind, since api.Version, handle func(operator.WatchLine) error) (api.Version, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(watchSilence, func() {
		cancel(fmt.Errorf("no line arrived for %s", watchSilence))
	})
	defer silence.Stop()
	path := fmt.Sprintf("%s?watch=%d", resourcePath(kind, ""), since)
	response, err := c.send(ctx, request{method: "GET", path: path, lost: result.PeerUnavailable})
	if err != nil {
		return since, err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	for {
		var line operator.WatchLine
		if err := decoder.Decode(&line); err != nil {
			return since, result.Errorf(result.PeerUnavailable, "the watch of %s ended: %w", kind, causeOf(ctx, err))
		}
		silence.Reset(watchSilence)
		if line.Type == operator.WatchError && line.Failure != nil {
			return since, &result.Error{Code: line.Failure.Code, Message: line.Failure.Message}
		}
		if err := handle(line); err != nil {
			return since, err
		}
		since = line.Resume
	}
}

func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// handlerError marks an error of the caller's own handler, which ends Follow.
type handlerError struct{ err error }

func (e *handlerError) Error() string { return e.err.Error() }
func (e *handlerError) Unwrap() error { return e.err }

// Follow lists a kind and then watches it, across lost connections, until the
// context ends or handle returns an error. It calls handle with every resource
// of a list as a put, and with a bookmark at the end of each list: resources
// that the list did not name do not exist. When changes are no longer kept it
// lists again.
func (c *Client) Follow(ctx context.Context, kind api.Kind, handle func(operator.WatchLine) error) error {
	guarded := func(line operator.WatchLine) error {
		if err := handle(line); err != nil {
			return &handlerError{err}
		}
		return nil
	}
	f := follower{client: c, kind: kind, handle: guarded, delay: minReopenDelay}
	for {
		err := f.step(ctx)
		var own *handlerError
		if errors.As(err, &own) {
			return own.err
		}
		if err := f.pause(ctx, err); err != nil {
			return err
		}
	}
}

// follower is the state of one Follow.
type follower struct {
	client *Client
	kind   api.Kind
	handle func(operator.WatchLine) error
	listed bool
	since  api.Version
	delay  time.Duration
}

// step lists if need be and watches until the connection ends.
func (f *follower) step(ctx context.Context) error {
	if !f.listed {
		if err := f.list(ctx); err != nil {
			return err
		}
	}
	since, err := f.client.Watch(ctx, f.kind, f.since, f.handle)
	if since > f.since {
		f.delay = minReopenDelay
	}
	f.since = since
	if result.CodeOf(err, result.PeerUnavailable) == result.ListAgain {
		f.listed = false
	}
	return err
}

func (f *follower) list(ctx context.Context) error {
	list, err := f.client.List(ctx, f.kind)
	if err != nil {
		return err
	}
	for i := range list.Items {
		r := &list.Items[i]
		if err := f.handle(operator.WatchLine{Type: operator.WatchPut, Version: r.Version, Resource: r}); err != nil {
			return err
		}
	}
	f.listed, f.since = true, list.Version
	return f.handle(operator.WatchLine{Type: operator.WatchBookmark, Version: list.Version, Resume: list.Version})
}

// pause waits before the next step. It returns an error if the context has
// ended or the server refuses the request for good.
func (f *follower) pause(ctx context.Context, err error) error {
	switch result.CodeOf(err, result.PeerUnavailable) {
	case result.NotFound, result.BadResource:
		return err
	case result.ListAgain:
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(f.delay):
	}
	f.delay = min(2*f.delay, maxReopenDelay)
	return nil
}
