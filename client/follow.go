package client

import (
	"context"
	"errors"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/operator"
)

// Follow lists a kind and then watches it, across lost connections, until the
// context ends or handle returns an error. It calls handle with every resource
// of a list as a put, and with a bookmark at the end of each list. When changes
// are no longer kept it lists again and reports the resources that are gone as
// deleted.
func (c *Client) Follow(ctx context.Context, kind api.Kind, handle func(operator.WatchLine) error) error {
	f := follower{client: c, kind: kind, handler: handle, known: make(map[string]*api.Resource), delay: minReopenDelay}
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
