package operator

import (
	"context"

	"github.com/cactusreel/cactusreel/api"
)

// StatusSource collects the status of services and jobs from the owners of
// cells.
type StatusSource interface {
	// Statuses returns the status of each service or job, in order. Cells
	// whose owner did not respond are counted in UnknownCells.
	Statuses(ctx context.Context, list []api.Resource) ([]api.Status, error)
}
