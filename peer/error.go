package peer

import (
	"errors"
	"fmt"
	"net"

	"github.com/cactusreel/cactusreel/hostapi"
)

// markNotSent wraps an error with hostapi.ErrNotSent if the connection to the
// peer could not be established, so that the call certainly was not sent.
func markNotSent(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", hostapi.ErrNotSent, err)
	}
	return err
}
