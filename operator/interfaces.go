package operator

import (
	"context"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/resources"
)

// Store gives the resources to read and watch. *resources.Store implements it.
type Store interface {
	View() *resources.View
}

// Readiness tells whether this VM may answer reads and submit writes.
type Readiness interface {
	// Ready returns nil, or an error whose code (result.NotReady or
	// result.NotRunStopping) the operator gets.
	Ready() error
}

// Submitter writes an operation to the log.
type Submitter interface {
	// Submit returns the outcome once the operation's record has been read
	// back. An error has the code result.NotRunLogUnavailable if the
	// operation certainly was not and will not be appended. Any other error
	// leaves its outcome unknown, as does an error without a code.
	Submit(ctx context.Context, op resources.Operation) (resources.Outcome, error)
}

// StatusSource collects the observed state of services and jobs from the
// owners of cells.
type StatusSource interface {
	// Status returns the status of a service or job. Cells whose owner did
	// not answer are counted in UnknownCells.
	Status(ctx context.Context, r api.Resource) (api.Status, error)
}

// RequestIDs issues ids for non-idempotent requests.
type RequestIDs interface {
	// NewRequestID returns an id whose home is a cell of this data centre, or
	// an error with a result code.
	NewRequestID(ctx context.Context) (string, error)
}
