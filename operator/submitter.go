package operator

import (
	"context"

	"github.com/cactusreel/cactusreel/resources"
)

// Submitter writes an operation to the log.
type Submitter interface {
	// Submit returns the outcome once the operation's record has been read
	// back. An error has the code result.NotRunLogUnavailable if the
	// operation certainly was not and will not be appended. Any other error
	// leaves its outcome unknown, as does an error without a code.
	Submit(ctx context.Context, op resources.Operation) (resources.Outcome, error)
}
