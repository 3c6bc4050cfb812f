package routing

import (
	"sync/atomic"
	"time"
)

// Cell is the state of a cell that this VM owns or has owned. It survives
// routing table updates.
type Cell struct {
	number    int
	authority atomic.Pointer[Authority]
}

func newCell(number int) *Cell {
	c := &Cell{number: number}
	c.authority.Store(&Authority{})
	return c
}

// Number returns the cell's number in its data centre.
func (c *Cell) Number() int {
	return c.number
}

// Authority returns the authority that was set last.
func (c *Cell) Authority() Authority {
	return *c.authority.Load()
}

func (c *Cell) slotsAt(now time.Duration, total int) int {
	return c.authority.Load().SlotsAt(now, total)
}
