package entry

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/peer/peerpb"
	"github.com/cactusreel/cactusreel/resources"
)

// copyPartBytes is the size of one part of a table's copy.
const copyPartBytes = 256 << 10

// offeredRenewal is the serial that a table gave for one renewal.
type offeredRenewal struct {
	table  *dedup.Table
	serial uint64
}

// tableCopies tracks which members hold copies of which request tables.
type tableCopies struct {
	mu sync.Mutex
	// synced holds the members of the last renewal offered, by cell.
	synced map[int][]string
	// copying holds the transfers in progress.
	copying map[copyKey]bool
	// common holds the members named by each renewal that has not been read
	// back, recorded those of the last one that was.
	common   map[uint64][]string
	recorded []string
	// offered holds the serials of renewals that have not been read back.
	offered map[uint64][]offeredRenewal
}

type copyKey struct {
	cell   int
	member string
}

func newTableCopies() *tableCopies {
	return &tableCopies{
		synced:  make(map[int][]string),
		copying: make(map[copyKey]bool),
		offered: make(map[uint64][]offeredRenewal),
		common:  make(map[uint64][]string),
	}
}

// setBinding tells the request tables which data centres are declared.
func (n *Node) setBinding(v *resources.View) {
	cells := make(map[string]int)
	for _, r := range v.List(api.KindDataCentre) {
		cells[r.Name] = r.DataCentre.Cells
	}
	n.tables.SetBinding(dedup.NewBinding(cells))
}

// setTable follows a change of ownership in the cell's request table.
func (n *Node) setTable(v ownership.View) {
	table := n.tables.Table(n.cellID(v.Cell))
	table.ObserveTerm(v.Term)
	switch v.OwnState {
	case ownership.StateNone:
	case ownership.StateLost:
		table.ReleaseHome(v.OwnTerm)
	default:
		n.takeTableOver(table, v)
	}
}

// takeTableOver makes this VM the home of a cell's ids under a new term.
func (n *Node) takeTableOver(table *dedup.Table, v ownership.View) {
	if term, ok := table.Home(); ok && term == v.OwnTerm {
		return
	}
	self := member{vm: n.settings.VM, incarnation: n.incarnation}.String()
	previous := n.claims.Load().synced[member{vm: v.Previous.VM, incarnation: v.Previous.Incarnation}]
	table.TakeOver(n.clock(), dedup.Takeover{
		Term:     v.OwnTerm,
		Previous: v.Previous.Term,
		Synced:   slices.Contains(previous, self),
		Until:    v.FullUntil,
	})
}

// extendTable moves the end of the home's authority with the lease.
func (n *Node) extendTable(v ownership.View) {
	if table, ok := n.tables.Lookup(n.cellID(v.Cell)); ok {
		table.ExtendLease(v.OwnTerm, v.FullUntil)
	}
}

// offerRenewal returns the members that hold full copies of all own tables.
// The record names only those, because it has one set for all cells; each
// table goes on requiring the acknowledgements of its own set.
func (n *Node) offerRenewal(number uint64) []string {
	var common []string
	first := true
	for _, r := range n.runners() {
		table := n.tables.Table(n.cellID(r.cell.Index))
		if _, home := table.Home(); !home {
			continue
		}
		serial, synced := table.OfferRenewal()
		n.copies.mu.Lock()
		n.copies.synced[r.cell.Index] = synced
		n.copies.offered[number] = append(n.copies.offered[number], offeredRenewal{table: table, serial: serial})
		n.copies.mu.Unlock()
		if first {
			common, first = synced, false
			continue
		}
		common = intersection(common, synced)
	}
	n.copies.mu.Lock()
	n.copies.common[number] = common
	n.copies.mu.Unlock()
	return common
}

func intersection(a, b []string) []string {
	var both []string
	for _, one := range a {
		if slices.Contains(b, one) {
			both = append(both, one)
		}
	}
	return both
}

// renewalRecorded tells the tables that a renewal was read back.
func (n *Node) renewalRecorded(number uint64) {
	n.copies.mu.Lock()
	offered := n.copies.offered[number]
	n.copies.recorded = n.copies.common[number]
	for old := range n.copies.common {
		if old <= number {
			delete(n.copies.common, old)
		}
	}
	for old := range n.copies.offered {
		if old <= number {
			delete(n.copies.offered, old)
		}
	}
	n.copies.mu.Unlock()
	for _, o := range offered {
		o.table.RenewalRecorded(o.serial)
	}
}

// syncWait bounds the wait for copies before a cell is handed over.
const syncWait = 4 * time.Second

// awaitSynced waits until the last recorded renewal names every ready member of
// the data centre. A receiver that it does not name would answer "outcome
// unknown" to callers' own ids for the retention time.
func (n *Node) awaitSynced(ctx context.Context) {
	end := n.clock() + syncWait
	for !n.allSynced() && n.clock() < end {
		if !sleep(ctx, claimsTick) {
			return
		}
	}
}

// allSynced reports whether the last recorded renewal names every ready member
// of the data centre.
func (n *Node) allSynced() bool {
	now := n.clock()
	n.copies.mu.Lock()
	recorded := n.copies.recorded
	n.copies.mu.Unlock()
	for _, p := range n.peers {
		word, ok := p.recentSummary(now)
		if !ok || !word.Ready || word.DataCentre != n.settings.DataCentre {
			continue
		}
		if !slices.Contains(recorded, member{vm: word.Vm, incarnation: word.Incarnation}.String()) {
			return false
		}
	}
	return true
}

// copyTables sends full copies of own tables to members that lack one.
func (n *Node) copyTables(ctx context.Context) {
	now := n.clock()
	for _, p := range n.peers {
		word, ok := p.recentSummary(now)
		if !ok || !word.Ready || word.DataCentre != n.settings.DataCentre {
			continue
		}
		m := member{vm: word.Vm, incarnation: word.Incarnation}
		for _, r := range n.runners() {
			n.copyTable(ctx, p, m, r.cell.Index)
		}
	}
}

func (n *Node) copyTable(ctx context.Context, p *peerState, m member, cell int) {
	key := copyKey{cell: cell, member: m.String()}
	n.copies.mu.Lock()
	busy := n.copies.copying[key] || slices.Contains(n.copies.synced[cell], key.member)
	if !busy {
		n.copies.copying[key] = true
	}
	n.copies.mu.Unlock()
	if busy {
		return
	}
	n.startBackground(func() {
		n.sendCopy(ctx, p, m, cell)
		n.copies.mu.Lock()
		delete(n.copies.copying, key)
		n.copies.mu.Unlock()
	})
}

func (n *Node) sendCopy(ctx context.Context, p *peerState, m member, cell int) {
	table := n.tables.Table(n.cellID(cell))
	parts := table.ExportCopy(n.clock(), m.String(), copyPartBytes)
	for _, part := range parts {
		full, err := n.sendPart(ctx, p, m, cell, part)
		if err != nil {
			table.CopyFailed(m.String())
			return
		}
		if full {
			table.ConfirmCopy(m.String(), part.Serial)
		}
	}
}

func (n *Node) sendPart(ctx context.Context, p *peerState, m member, cell int, part dedup.Copy) (bool, error) {
	data, err := json.Marshal(part)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, n.settings.Times.PeerTimeout)
	defer cancel()
	answer, err := p.client.Synchronise(ctx, &peerpb.SynchroniseRequest{
		DataCentre:  n.settings.DataCentre,
		Cell:        int32(cell),
		Term:        part.Term,
		Copy:        data,
		Incarnation: m.incarnation,
	})
	if err != nil {
		return false, err
	}
	if !answer.Accepted {
		return false, errCopyRefused
	}
	return answer.Full, nil
}
