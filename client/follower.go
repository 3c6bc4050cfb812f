package client

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/operator"
	"github.com/cactusreel/cactusreel/result"
)

// Bounds of the delay before a watch is opened again.
const (
	minReopenDelay = 250 * time.Millisecond
	maxReopenDelay = 10 * time.Second
)

// follower is the state of one Follow.
type follower struct {
	client *Client
	kind   api.Kind
	// handler is the function passed to Follow.
	handler func(operator.WatchLine) error
	// known holds the existing resources that were passed to the handler.
	known  map[string]*api.Resource
	listed bool
	since  api.Version
	delay  time.Duration
}

// listAndWatch lists unless the last list is still valid, and watches until the
// connection ends.
func (f *follower) listAndWatch(ctx context.Context) error {
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

// handle updates the known resources and calls the handler.
func (f *follower) handle(line operator.WatchLine) error {
	switch line.Type {
	case operator.WatchPut:
		f.known[line.Resource.Name] = line.Resource
	case operator.WatchDelete:
		delete(f.known, line.Resource.Name)
	}
	if err := f.handler(line); err != nil {
		return &handlerError{err}
	}
	return nil
}

func (f *follower) list(ctx context.Context) error {
	list, err := f.client.List(ctx, f.kind)
	if err != nil {
		return err
	}
	if err := f.reportDeleted(list); err != nil {
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

// reportDeleted reports the known resources that a new list does not contain.
func (f *follower) reportDeleted(list operator.List) error {
	listed := make(map[string]bool, len(list.Items))
	for _, r := range list.Items {
		listed[r.Name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(f.known)) {
		if listed[name] {
			continue
		}
		if err := f.handle(operator.WatchLine{Type: operator.WatchDelete, Version: list.Version, Resource: f.known[name]}); err != nil {
			return err
		}
	}
	return nil
}

// waitToRetry waits with exponential backoff before the watch is opened again. It
// returns an error if the context has ended or a retry can't succeed. A new list
// is requested without waiting.
func (f *follower) waitToRetry(ctx context.Context, err error) error {
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
