package peer

import (
	"errors"
	"fmt"
	"net"

	"github.com/cactusreel/cactusreel/platform"
)

// classify wraps errors of calls that certainly never reached the peer with
// platform.ErrNotSent: the connection could not be established.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", platform.ErrNotSent, err)
	}
	return err
}
