package operator

import (
	"context"

	"github.com/cactusreel/cactusreel/api"
)

// StatusSource collects the observed state of services and jobs from the
// owners of cells.
type StatusSource interface {
	// Status returns the status of a service or job. Cells whose owner did
	// not answer are counted in UnknownCells.
	Status(ctx context.Context, r api.Resource) (api.Status, error)
}
