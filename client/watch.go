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

// watchSilence is the time without a line, bookmarks included, after which a
// watch's connection is taken for silent: four bookmark intervals.
const watchSilence = 4 * operator.DefaultBookmarkInterval

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
		if line.Resource == nil && line.Type != operator.WatchBookmark {
			return since, result.Errorf(result.PeerUnavailable, "the watch of %s sent a line of type %q without a resource", kind, line.Type)
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
