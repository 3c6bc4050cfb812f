package routing

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Router holds the routing table and the accounts. Its methods may be called
// concurrently. Only Update, SetAuthority and Summaries take a lock.
type Router struct {
	table atomic.Pointer[table]
	// mu guards accounts, which only the writers use.
	mu       sync.Mutex
	accounts *accounts
}

// New returns a Router with an empty table.
func New() *Router {
	r := &Router{accounts: newAccounts()}
	r.table.Store(&table{})
	return r
}

// Update publishes a new table. Requests in progress keep their slots, and
// estimates, budgets and shares are kept.
func (r *Router) Update(s Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Store(buildTable(r.accounts, &s))
	r.accounts.prune(&s)
}

// SetAuthority sets what this VM may do with the workers of a cell, and takes
// effect for the next decision. An authority of a lower term than the present
// one is ignored, and so is any that would end the Lost state of its own term:
// a term that was replaced never returns.
func (r *Router) SetAuthority(cell int, a Authority) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.accounts.cell(cell)
	current := c.Authority()
	if a.Term < current.Term {
		return
	}
	if a.Term == current.Term && current.State == Lost && current.Term != 0 {
		return
	}
	c.authority.Store(&a)
}

// Authority returns the newest authority of a cell; the zero value if none was
// ever set.
func (r *Router) Authority(cell int) Authority {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.accounts.cells[cell]; c != nil {
		return c.Authority()
	}
	return Authority{}
}

// Service returns a service of the present table.
func (r *Router) Service(name string) (*Service, bool) {
	svc, ok := r.table.Load().services[name]
	return svc, ok
}

// Summaries returns the free slots of every own cell that may use slots, for
// publication to the peers.
func (r *Router) Summaries(now time.Duration) []CellSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	byCell := map[*Cell]map[string]int{}
	for name, svc := range r.table.Load().services {
		for _, server := range svc.servers {
			addFree(byCell, server, name, now)
		}
	}
	var list []CellSummary
	for number, cell := range r.accounts.cells {
		if free := byCell[cell]; free != nil {
			list = append(list, CellSummary{Cell: number, Term: cell.Authority().Term, Free: free})
		}
	}
	slices.SortFunc(list, func(a, b CellSummary) int { return cmp.Compare(a.Cell, b.Cell) })
	return list
}

func addFree(byCell map[*Cell]map[string]int, server *Server, service string, now time.Duration) {
	cell := server.worker.cell.Load()
	free := byCell[cell]
	if free == nil {
		free = map[string]int{}
		byCell[cell] = free
	}
	n := 0
	if !server.Leaving() {
		n = server.worker.FreeSlots(now)
	}
	free[service] += n
}
