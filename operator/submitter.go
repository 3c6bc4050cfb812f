package operator

import (
	"context"

	"github.com/cactusreel/cactusreel/resources"
)

// Submitter writes an operation to the log.
type Submitter interface {
	// Submit returns the outcome once the operation's record has been read
	// back from the log. An error has the code result.NotRunLogUnavailable if
	// the operation certainly was not and will not be appended. After any
	// other error, with or without a code, the outcome is unknown.
	Submit(ctx context.Context, op resources.Operation) (resources.Outcome, error)
}
