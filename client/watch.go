package client

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/operator"
	"github.com/cactusreel/cactusreel/result"
)

// watchTimeout is the time without a line, bookmarks included, after which the
// connection of a watch is considered dead: four bookmark intervals.
const watchTimeout = 4 * operator.DefaultBookmarkInterval

// Watch calls handle for each line after the version since, bookmarks included.
// It returns the version to resume from and the error that ended the watch. The
// code result.ListAgain means that the changes after since are no longer kept.
func (c *Client) Watch(ctx context.Context, kind api.Kind, since api.Version, handle func(operator.WatchLine) error) (api.Version, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(watchTimeout, func() {
		cancel(fmt.Errorf("no line arrived for %s", watchTimeout))
	})
	defer timer.Stop()
	path := fmt.Sprintf("%s?watch=%d", resourcePath(kind, ""), since)
	response, err := c.send(ctx, request{method: "GET", path: path, lostCode: result.PeerUnavailable})
	if err != nil {
		return since, err
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	for {
		var line operator.WatchLine
		if err := decoder.Decode(&line); err != nil {
			return since, result.Errorf(result.PeerUnavailable, "the watch of %s ended: %w", kind, cancellationCause(ctx, err))
		}
		timer.Reset(watchTimeout)
		if line.Type == operator.WatchError && line.Failure != nil {
			return since, &result.Error{Code: line.Failure.Code, Message: line.Failure.Message}
		}
		if line.Resource == nil && line.Type != operator.WatchBookmark {
			return since, result.Errorf(result.PeerUnavailable, "the watch of %s sent a line of type %q without a resource", kind, line.Type)
		}
		if err := handle(line); err != nil {
			return since, err
		}
		since = line.Resume
	}
}

func cancellationCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
