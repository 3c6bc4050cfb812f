package entry

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/peer/peerpb"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/routing"
	"github.com/cactusreel/cactusreel/scheduler"
	"github.com/cactusreel/cactusreel/tasks"
	"github.com/cactusreel/cactusreel/trace"
)

// startClaims starts the ownership machine once the data centre is declared,
// because its number of cells is not known before.
func (n *Node) startClaims(ctx context.Context) {
	if n.claims.Load() != nil || n.cellCount() == 0 || n.stopping.Load() {
		return
	}
	t := n.settings.Times
	config := ownership.DefaultConfig(n.settings.VM, n.settings.DataCentre, n.incarnation, n.cellCount())
	config.Lease = t.OwnerLease
	config.RenewEvery = t.OwnerRenewal
	config.Drift = t.ClockDrift
	config.MaxRequest = t.MaxRequest
	config.GoneAfter = t.KnownGone
	config.PromiseLife = t.Promise
	config.OfflineLimit = t.OfflineTasks
	config.TaskLease = t.TaskLease
	w := n.writerFor(record.ClaimsStream(n.settings.DataCentre), func() {
		if r := n.claims.Load(); r != nil {
			r.follower.readNow()
		}
	})
	runner := newClaimsRunner(ctx, config, n.log, w, n, n.events, n.clock, t.LogPoll)
	if !n.claims.CompareAndSwap(nil, runner) {
		return
	}
	runner.trace = n.traceMachine(trace.Ownership, n.settings.DataCentre, config)
	n.startBackground(runner.run)
}

// cellChanged applies a change of a cell's ownership: it updates the router and
// the request table, and starts or stops the cell's runner. It is called by the
// claims runner's goroutine and must not block on the cell.
func (n *Node) cellChanged(v ownership.View) {
	ctx := n.claims.Load().ctx
	n.setAuthority(v)
	n.updateTable(v)
	owns := v.OwnState != ownership.StateNone
	n.mu.Lock()
	runner := n.cellRunners[v.Cell]
	n.mu.Unlock()
	if runner == nil && !owns {
		return
	}
	if runner == nil {
		runner = n.startCell(ctx, v.Cell)
		n.events.Log(logevent.CellClaimed, zap.Int("cell", v.Cell), zap.Int64("term", v.OwnTerm))
	}
	runner.send(cellMessage{ownership: &v})
	if v.OwnState == ownership.StateLost {
		n.events.Log(logevent.CellLost, zap.Int("cell", v.Cell), zap.Int64("term", v.OwnTerm), zap.String("owner", v.Owner))
	}
	if !owns {
		n.stopCell(v.Cell)
	}
}

func (n *Node) startCell(ctx context.Context, cell int) *cellRunner {
	id := scheduler.CellID{DataCentre: n.settings.DataCentre, Index: cell}
	runner := n.newRunner(ctx, id, n, func() { n.wakeCell(cell) })
	n.mu.Lock()
	n.cellRunners[cell] = runner
	n.mu.Unlock()
	n.startBackground(runner.run)
	return runner
}

// newRunner returns a runner, with the times of the settings, for an owned or
// rescued cell.
func (n *Node) newRunner(ctx context.Context, id scheduler.CellID, host cellHost, appended func()) *cellRunner {
	t := n.settings.Times
	config := tasks.DefaultConfig(n.settings.VM, id.DataCentre, id.Index)
	config.Lease = t.TaskLease
	config.RenewEvery = t.TaskRenewal
	config.Drift = t.ClockDrift
	config.OfflineLimit = t.OfflineTasks
	config.ObserveEvery = t.WorkerPoll
	config.SnapshotRecords = n.settings.Limits.SnapshotRecords
	runner := newCellRunner(ctx, cellOptions{
		cell:   id,
		config: config,
		host:   host,
		log:    n.log,
		writer: n.writerFor(record.TasksStream(id.DataCentre, id.Index), appended),
		events: n.events,
		clock:  n.clock,
		poll:   t.LogPoll,
	})
	runner.trace = n.traceMachine(trace.Tasks, id.String(), config)
	return runner
}

// wakeCell makes the runner of a cell read its task stream immediately.
func (n *Node) wakeCell(cell int) {
	if r := n.ownedRunner(cell); r != nil {
		r.follower.readNow()
	}
}

// stopCell ends the runner of a cell that this VM no longer owns.
func (n *Node) stopCell(cell int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r := n.cellRunners[cell]; r != nil {
		r.cancel()
		delete(n.cellRunners, cell)
	}
}

// ownedRunner returns the runner of an owned cell, or nil.
func (n *Node) ownedRunner(cell int) *cellRunner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cellRunners[cell]
}

func (n *Node) ownedRunners() []*cellRunner {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]*cellRunner, 0, len(n.cellRunners))
	for _, r := range n.cellRunners {
		list = append(list, r)
	}
	return list
}

// routingStates maps ownership states to the owner states of routing. States
// without an entry allow no slots.
var routingStates = map[ownership.State]routing.OwnerState{
	ownership.StateWaiting: routing.Held,
	ownership.StateHeld:    routing.Held,
	ownership.StateVouched: routing.Vouched,
	ownership.StateReduced: routing.Reduced,
}

// setAuthority sets the router's authority over the workers of a cell.
func (n *Node) setAuthority(v ownership.View) {
	if v.OwnTerm == 0 {
		return
	}
	usableFrom := v.WaitUntil
	if n.draining(v) {
		usableFrom = neverUsable
	}
	n.router.SetAuthority(v.Cell, routing.Authority{
		Term:         v.OwnTerm,
		State:        routingStates[v.OwnState],
		FullUntil:    v.FullUntil,
		UsableFrom:   usableFrom,
		Predecessors: v.Predecessors,
	})
}

// neverUsable is a UsableFrom that is never reached.
const neverUsable = time.Duration(math.MaxInt64)

// refreshAuthority sets the authority of all owned cells again, because the
// ends of leases and promises move without a state change.
func (n *Node) refreshAuthority(context.Context) {
	claims := n.claims.Load()
	if claims == nil {
		return
	}
	for _, v := range claims.Views() {
		if v.OwnState != ownership.StateNone {
			n.setAuthority(v)
			n.extendTableLease(v)
		}
	}
}

// askPromises requests promises of peers not to claim cells that this VM owns.
func (n *Node) askPromises(a ownership.AskPromises) {
	ctx := n.claims.Load().ctx
	cells := make([]*peerpb.CellTerm, 0, len(a.Cells))
	for _, c := range a.Cells {
		cells = append(cells, &peerpb.CellTerm{Cell: int32(c.Cell), Term: c.Term})
	}
	request := &peerpb.PromiseRequest{
		DataCentre:  n.settings.DataCentre,
		Vm:          n.settings.VM,
		Incarnation: n.incarnation,
		Cells:       cells,
	}
	for _, vm := range a.Peers {
		if p := n.peerByVM(vm); p != nil {
			n.startBackground(func() { n.requestPeerPromise(ctx, p, a.Number, request) })
		}
	}
}

func (n *Node) requestPeerPromise(ctx context.Context, p *peerState, number uint64, request *peerpb.PromiseRequest) {
	callCtx, cancel := context.WithTimeout(ctx, n.settings.Times.PeerTimeout)
	defer cancel()
	response, err := p.client.Promise(callCtx, request)
	if err != nil {
		return
	}
	ev := ownership.PromiseAnswered{From: p.client.Address.VM, Number: number}
	for _, cell := range response.Granted {
		ev.Granted = append(ev.Granted, int(cell))
	}
	for _, c := range response.Newer {
		ev.Newer = append(ev.Newer, ownership.CellTerm{Cell: int(c.Cell), Term: c.Term})
	}
	n.claims.Load().send(ev)
}

// draining reports whether the requests on a cell are being drained in this
// term. A release that was abandoned ends the drain.
func (n *Node) draining(v ownership.View) bool {
	if !v.Releasing {
		n.drainingTerms.Delete(v.Cell)
		return false
	}
	term, found := n.drainingTerms.Load(v.Cell)
	return found && term == v.OwnTerm
}

// drainCell drains the requests on a cell in the background. Before a release
// it first waits until the copies of the request table are synced, and the cell
// accepts requests meanwhile.
func (n *Node) drainCell(cell int) {
	claims := n.claims.Load()
	n.startBackground(func() {
		if claims.Views()[cell].Releasing {
			n.awaitSyncedMembers(claims.ctx)
		}
		view := claims.Views()[cell]
		n.drainingTerms.Store(cell, view.OwnTerm)
		n.setAuthority(view)
		for n.router.SlotsInUse(cell, n.clock()) > 0 {
			if !sleep(claims.ctx, claimsTick) {
				return
			}
		}
		claims.send(ownership.CellDrained{Cell: cell})
	})
}

// stopCompleted signals that the ownership machine has completed the planned
// stop.
func (n *Node) stopCompleted() {
	n.stoppedOnce.Do(func() { close(n.stopped) })
}

// peerByVM returns the peer with a VM id, or nil.
func (n *Node) peerByVM(vm string) *peerState {
	for _, p := range n.peers {
		if p.client.Address.VM == vm {
			return p
		}
	}
	return nil
}

// dedupCell returns the key of the request table of a cell in this VM's data
// centre.
func (n *Node) dedupCell(cell int) dedup.Cell {
	return dedup.Cell{DataCentre: n.settings.DataCentre, Number: cell}
}
