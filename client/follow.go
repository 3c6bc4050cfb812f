package client

import (
	"context"
	"errors"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/operator"
)

// Follow lists the resources of a kind and then watches them until the context
// ends or handle returns an error; it reconnects when a connection is lost. It
// calls handle with a put for every resource of a list and with a bookmark at the
// end of each list. When the server no longer keeps the missed changes, Follow
// lists again and reports the resources that no longer exist as deleted.
func (c *Client) Follow(ctx context.Context, kind api.Kind, handle func(operator.WatchLine) error) error {
	f := follower{client: c, kind: kind, handler: handle, known: make(map[string]*api.Resource), delay: minReopenDelay}
	for {
		err := f.listAndWatch(ctx)
		var handlerErr *handlerError
		if errors.As(err, &handlerErr) {
			return handlerErr.err
		}
		if err := f.waitToRetry(ctx, err); err != nil {
			return err
		}
	}
}
