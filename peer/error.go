package peer

import (
	"errors"
	"fmt"
	"net"

	"github.com/cactusreel/cactusreel/hostapi"
)

// classify wraps errors of calls that certainly never reached the peer with
// hostapi.ErrNotSent: the connection could not be established.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", hostapi.ErrNotSent, err)
	}
	return err
}
