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

// copyPartBytes is the maximum size of one part of a table's copy.
const copyPartBytes = 256 << 10

// offeredRenewal is a table and the serial that it returned for one renewal.
type offeredRenewal struct {
	table  *dedup.Table
	serial uint64
}

// tableCopies tracks which members hold copies of which request tables.
type tableCopies struct {
	mu sync.Mutex
	// syncedMembers holds the synced members of the last offered renewal, by
	// cell.
	syncedMembers map[int][]string
	// copiesInProgress holds the copies that are being sent.
	copiesInProgress map[copyKey]bool
	// renewalMembers holds the members named by each renewal that has not been
	// read back, by renewal number. recordedMembers holds those of the last one
	// that was read back.
	renewalMembers  map[uint64][]string
	recordedMembers []string
	// offeredRenewals holds the tables and serials of renewals that have not been
	// read back, by renewal number.
	offeredRenewals map[uint64][]offeredRenewal
}

type copyKey struct {
	cell   int
	member string
}

func newTableCopies() *tableCopies {
	return &tableCopies{
		syncedMembers:    make(map[int][]string),
		copiesInProgress: make(map[copyKey]bool),
		offeredRenewals:  make(map[uint64][]offeredRenewal),
		renewalMembers:   make(map[uint64][]string),
	}
}

// updateBinding passes the declared data centres and their numbers of cells to the
// request tables.
func (n *Node) updateBinding(v *resources.View) {
	cells := make(map[string]int)
	for _, r := range v.List(api.KindDataCentre) {
		cells[r.Name] = r.DataCentre.Cells
	}
	n.tables.SetBinding(dedup.NewBinding(cells))
}

// updateTable applies a change of a cell's ownership to its request table.
func (n *Node) updateTable(v ownership.View) {
	table := n.tables.Table(n.dedupCell(v.Cell))
	table.ObserveTerm(v.Term)
	switch v.OwnState {
	case ownership.StateNone:
	case ownership.StateLost:
		table.ReleaseHome(v.OwnTerm)
	default:
		n.takeOverTable(table, v)
	}
}

// takeOverTable makes this VM the home of a cell's request ids under a new term.
func (n *Node) takeOverTable(table *dedup.Table, v ownership.View) {
	if term, ok := table.Home(); ok && term == v.OwnTerm {
		return
	}
	self := member{vm: n.settings.VM, incarnation: n.incarnation}.String()
	previousSynced := n.claims.Load().syncedMembers[member{vm: v.Previous.VM, incarnation: v.Previous.Incarnation}]
	table.TakeOver(n.clock(), dedup.Takeover{
		Term:     v.OwnTerm,
		Previous: v.Previous.Term,
		Synced:   slices.Contains(previousSynced, self),
		Until:    v.FullUntil,
	})
}

// extendTableLease extends the authority of the table's home with the lease.
func (n *Node) extendTableLease(v ownership.View) {
	if table, ok := n.tables.Lookup(n.dedupCell(v.Cell)); ok {
		table.ExtendLease(v.OwnTerm, v.FullUntil)
	}
}

// offerRenewal returns the members that hold full copies of all own tables. The
// renewal record names only those, because it has one set for all cells. Each
// table still requires acknowledgements from all members of its own set.
func (n *Node) offerRenewal(number uint64) []string {
	var common []string
	first := true
	for _, r := range n.ownedRunners() {
		table := n.tables.Table(n.dedupCell(r.cell.Index))
		if _, home := table.Home(); !home {
			continue
		}
		serial, synced := table.OfferRenewal()
		n.copies.mu.Lock()
		n.copies.syncedMembers[r.cell.Index] = synced
		n.copies.offeredRenewals[number] = append(n.copies.offeredRenewals[number], offeredRenewal{table: table, serial: serial})
		n.copies.mu.Unlock()
		if first {
			common, first = synced, false
			continue
		}
		common = intersection(common, synced)
	}
	n.copies.mu.Lock()
	n.copies.renewalMembers[number] = common
	n.copies.mu.Unlock()
	return common
}

func intersection(a, b []string) []string {
	var common []string
	for _, s := range a {
		if slices.Contains(b, s) {
			common = append(common, s)
		}
	}
	return common
}

// renewalRecorded notifies the tables that a renewal was read back, and drops
// earlier renewals.
func (n *Node) renewalRecorded(number uint64) {
	n.copies.mu.Lock()
	offered := n.copies.offeredRenewals[number]
	n.copies.recordedMembers = n.copies.renewalMembers[number]
	for earlier := range n.copies.renewalMembers {
		if earlier <= number {
			delete(n.copies.renewalMembers, earlier)
		}
	}
	for earlier := range n.copies.offeredRenewals {
		if earlier <= number {
			delete(n.copies.offeredRenewals, earlier)
		}
	}
	n.copies.mu.Unlock()
	for _, o := range offered {
		o.table.RenewalRecorded(o.serial)
	}
}

// maxSyncWait bounds the wait for copies before a cell is released.
const maxSyncWait = 4 * time.Second

// awaitSyncedMembers waits until the last recorded renewal names every ready member
// of the data centre, for at most maxSyncWait. A new owner that it does not name
// would answer "outcome unknown" to ids made by callers for the retention time.
func (n *Node) awaitSyncedMembers(ctx context.Context) {
	deadline := n.clock() + maxSyncWait
	for !n.allReadyMembersSynced() && n.clock() < deadline {
		if !sleep(ctx, claimsTick) {
			return
		}
	}
}

// allReadyMembersSynced reports whether the last recorded renewal names every ready
// member of the data centre.
func (n *Node) allReadyMembersSynced() bool {
	now := n.clock()
	n.copies.mu.Lock()
	recorded := n.copies.recordedMembers
	n.copies.mu.Unlock()
	for _, p := range n.peers {
		summary, ok := p.recentSummary(now)
		if !ok || !summary.Ready || summary.DataCentre != n.settings.DataCentre {
			continue
		}
		if !slices.Contains(recorded, member{vm: summary.Vm, incarnation: summary.Incarnation}.String()) {
			return false
		}
	}
	return true
}

// copyTables sends full copies of own tables to the ready members of the data
// centre that have none.
func (n *Node) copyTables(ctx context.Context) {
	now := n.clock()
	for _, p := range n.peers {
		summary, ok := p.recentSummary(now)
		if !ok || !summary.Ready || summary.DataCentre != n.settings.DataCentre {
			continue
		}
		m := member{vm: summary.Vm, incarnation: summary.Incarnation}
		for _, r := range n.ownedRunners() {
			n.copyTable(ctx, p, m, r.cell.Index)
		}
	}
}

func (n *Node) copyTable(ctx context.Context, p *peerState, m member, cell int) {
	key := copyKey{cell: cell, member: m.String()}
	n.copies.mu.Lock()
	skip := n.copies.copiesInProgress[key] || slices.Contains(n.copies.syncedMembers[cell], key.member)
	if !skip {
		n.copies.copiesInProgress[key] = true
	}
	n.copies.mu.Unlock()
	if skip {
		return
	}
	n.startBackground(func() {
		n.sendCopy(ctx, p, m, cell)
		n.copies.mu.Lock()
		delete(n.copies.copiesInProgress, key)
		n.copies.mu.Unlock()
	})
}

func (n *Node) sendCopy(ctx context.Context, p *peerState, m member, cell int) {
	table := n.tables.Table(n.dedupCell(cell))
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
	response, err := p.client.Synchronise(ctx, &peerpb.SynchroniseRequest{
		DataCentre:  n.settings.DataCentre,
		Cell:        int32(cell),
		Term:        part.Term,
		Copy:        data,
		Incarnation: m.incarnation,
	})
	if err != nil {
		return false, err
	}
	if !response.Accepted {
		return false, errCopyRefused
	}
	return response.Full, nil
}
