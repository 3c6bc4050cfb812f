package operator

import "context"

// RequestIDs issues ids for non-idempotent requests.
type RequestIDs interface {
	// NewRequestID returns an id whose home is a cell of this data centre, or
	// an error with a result code.
	NewRequestID(ctx context.Context) (string, error)
}
