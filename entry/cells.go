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

// startClaims starts the ownership machine once the data centre is declared:
// only then is its number of cells known.
func (n *Node) startClaims(ctx context.Context) {
	if n.claims.Load() != nil || n.cells() == 0 || n.stopping.Load() {
		return
	}
	t := n.settings.Times
	config := ownership.DefaultConfig(n.settings.VM, n.settings.DataCentre, n.incarnation, n.cells())
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

// cellChanged follows a change of a cell's ownership. It is called by the
// claims runner and must not block on the cell.
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
	runner.send(cellMessage{view: &v})
	if v.OwnState == ownership.StateLost {
		n.events.Log(logevent.CellLost, zap.Int("cell", v.Cell), zap.Int64("term", v.OwnTerm), zap.String("owner", v.Owner))
	}
	if !owns {
		n.stopCell(v.Cell)
	}
}

func (n *Node) startCell(ctx context.Context, cell int) *cellRunner {
	id := scheduler.CellID{DataCentre: n.settings.DataCentre, Index: cell}
	runner := n.makeCell(ctx, id, n, func() { n.nudgeCell(cell) })
	n.mu.Lock()
	n.cellRunners[cell] = runner
	n.mu.Unlock()
	n.startBackground(runner.run)
	return runner
}

// makeCell returns a runner of an own or rescued cell with the settings' times.
func (n *Node) makeCell(ctx context.Context, id scheduler.CellID, host cellHost, appended func()) *cellRunner {
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

func (n *Node) nudgeCell(cell int) {
	if r := n.runner(cell); r != nil {
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

// runner returns the runner of an own cell, or nil.
func (n *Node) runner(cell int) *cellRunner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cellRunners[cell]
}

// runners returns the runners of all own cells.
func (n *Node) runners() []*cellRunner {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]*cellRunner, 0, len(n.cellRunners))
	for _, r := range n.cellRunners {
		list = append(list, r)
	}
	return list
}

// routingStates maps ownership states to those of routing. A state without an
// entry allows no slots.
var routingStates = map[ownership.State]routing.OwnerState{
	ownership.StateWaiting: routing.Held,
	ownership.StateHeld:    routing.Held,
	ownership.StateVouched: routing.Vouched,
	ownership.StateReduced: routing.Reduced,
}

// setAuthority tells the router what it may do with the workers of a cell.
func (n *Node) setAuthority(v ownership.View) {
	if v.OwnTerm == 0 {
		return
	}
	usable := v.WaitUntil
	if n.draining(v) {
		usable = never
	}
	n.router.SetAuthority(v.Cell, routing.Authority{
		Term:         v.OwnTerm,
		State:        routingStates[v.OwnState],
		FullUntil:    v.FullUntil,
		UsableFrom:   usable,
		Predecessors: v.Predecessors,
	})
}

// never is a time that no process reaches.
const never = time.Duration(math.MaxInt64)

// refreshAuthority repeats the authority of all own cells, because the ends of
// leases and promises move without a change of state.
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

// askPromises asks peers not to claim cells that this VM owns.
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
		if p := n.peer(vm); p != nil {
			n.startBackground(func() { n.askOnePromise(ctx, p, a.Number, request) })
		}
	}
}

func (n *Node) askOnePromise(ctx context.Context, p *peerState, number uint64, request *peerpb.PromiseRequest) {
	callCtx, cancel := context.WithTimeout(ctx, n.settings.Times.PeerTimeout)
	defer cancel()
	answer, err := p.client.Promise(callCtx, request)
	if err != nil {
		return
	}
	ev := ownership.PromiseAnswered{From: p.client.Address.VM, Number: number}
	for _, cell := range answer.Granted {
		ev.Granted = append(ev.Granted, int(cell))
	}
	for _, c := range answer.Newer {
		ev.Newer = append(ev.Newer, ownership.CellTerm{Cell: int(c.Cell), Term: c.Term})
	}
	n.claims.Load().send(ev)
}

// draining reports whether requests on a cell of this term are being ended. A
// hand-over that was given up ends it.
func (n *Node) draining(v ownership.View) bool {
	if !v.Releasing {
		n.drainingTerms.Delete(v.Cell)
		return false
	}
	term, found := n.drainingTerms.Load(v.Cell)
	return found && term == v.OwnTerm
}

// drainCell ends the requests on a cell in the background. Before a hand-over
// it waits for the copies of the request table, and serves meanwhile.
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

// left ends the planned stop's hand-over.
func (n *Node) left() {
	n.leftOnce.Do(func() { close(n.stopped) })
}

// peer returns the peer with a VM id, or nil.
func (n *Node) peer(vm string) *peerState {
	for _, p := range n.peers {
		if p.client.Address.VM == vm {
			return p
		}
	}
	return nil
}

// cellID names a cell of this VM's data centre for the request tables.
func (n *Node) cellID(cell int) dedup.Cell {
	return dedup.Cell{DataCentre: n.settings.DataCentre, Number: cell}
}
