package scheduler

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// CellID identifies a cell: a shard of a data centre's workers.
type CellID struct {
	DataCentre string
	Index      int
}

// CellOf returns the cell that a worker is hashed to in a data centre with the
// given number of cells.
func CellOf(dataCentre, worker string, cells int) CellID {
	return CellID{DataCentre: dataCentre, Index: int(xxhash.Sum64String(worker) % uint64(max(cells, 1)))}
}

// String returns "<data centre>/<index>".
func (c CellID) String() string {
	return fmt.Sprintf("%s/%d", c.DataCentre, c.Index)
}
