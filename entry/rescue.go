package entry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/scheduler"
	"github.com/cactusreel/cactusreel/trace"
)

// Times of rescues.
const (
	// rescueInterval is the interval at which the silence of data centres is
	// checked.
	rescueInterval = 5 * time.Second
	// rescueSilence is how long all entry VMs of a data centre must have been
	// silent before its claims stream is followed. Following costs log reads,
	// and the rescue itself waits for the offline limit in addition.
	rescueSilence = time.Minute
	// rescuePollInterval is how often the claims stream of a silent data centre
	// is read.
	rescuePollInterval = 5 * time.Second
)

// rescuer moves the tasks out of the cells of another data centre whose owners
// have been silent for so long that every task lease there has expired. It
// handles the actions of the ownership machine for that data centre.
type rescuer struct {
	*Node
	dataCentre string
	claims     *claimsRunner
	cancel     context.CancelFunc
	// numCells is the number of cells of the data centre.
	numCells int
	// runners holds the runners of the rescued cells. The claims runner's
	// goroutine changes it and others read it; the node's mu guards it.
	runners map[int]*cellRunner
}

// updateRescuers starts and stops rescuers. Only the owner of cell 0 starts
// one.
func (n *Node) updateRescuers(ctx context.Context) {
	now := n.clock()
	silence := min(rescueSilence, n.settings.Times.OfflineTasks)
	for dc, lastAnswer := range n.lastAnswerTimes(now) {
		active := n.rescuers[dc]
		silent := now-lastAnswer >= silence
		switch {
		case active == nil && silent && n.holdsFirstCell():
			n.startRescuer(ctx, dc)
		case active != nil && !silent:
			active.cancel()
			n.mu.Lock()
			delete(n.rescuers, dc)
			n.mu.Unlock()
		}
	}
}

// lastAnswerTimes returns when a peer of each other data centre last answered,
// or 0 if none has.
func (n *Node) lastAnswerTimes(now time.Duration) map[string]time.Duration {
	answered := make(map[string]time.Duration)
	for _, p := range n.peers {
		dc := p.client.Address.DataCentre
		if dc == n.settings.DataCentre {
			continue
		}
		answered[dc] = max(answered[dc], p.lastAnswerAt())
		answered[dc] = min(answered[dc], now)
	}
	return answered
}

// holdsFirstCell reports whether this VM holds the lease of cell 0.
func (n *Node) holdsFirstCell() bool {
	claims := n.claims.Load()
	if claims == nil {
		return false
	}
	views := claims.Views()
	return len(views) > 0 && views[0].OwnState == ownership.StateHeld
}

func (n *Node) startRescuer(ctx context.Context, dataCentre string) {
	declared, ok := n.feed.store.View().Get(api.KindDataCentre, dataCentre)
	if !ok {
		return
	}
	r := &rescuer{Node: n, dataCentre: dataCentre, numCells: declared.DataCentre.Cells, runners: make(map[int]*cellRunner)}
	t := n.settings.Times
	config := ownership.DefaultConfig(n.settings.VM, dataCentre, n.incarnation, r.numCells)
	config.Rescuer = true
	config.Lease = t.OwnerLease
	config.Drift = t.ClockDrift
	config.OfflineLimit = t.OfflineTasks
	config.TaskLease = t.TaskLease
	w := n.writerFor(record.ClaimsStream(dataCentre), func() {})
	ctx, r.cancel = context.WithCancel(ctx)
	r.claims = newClaimsRunner(ctx, config, n.log, w, r, n.events, n.clock, rescuePollInterval)
	r.claims.trace = n.traceMachine(trace.Ownership, dataCentre, config)
	n.mu.Lock()
	n.rescuers[dataCentre] = r
	n.mu.Unlock()
	n.events.Log(logevent.RescueStarted, zap.String("dataCentre", dataCentre))
	n.startBackground(r.claims.run)
}

// cellChanged implements claimsHandler.
func (r *rescuer) cellChanged(v ownership.View) {
	r.mu.Lock()
	runner := r.runners[v.Cell]
	r.mu.Unlock()
	rescued := v.OwnState == ownership.StateRescue
	if runner == nil && rescued {
		runner = r.startCell(v.Cell)
	}
	if runner == nil {
		return
	}
	runner.send(cellMessage{ownership: &v})
	if !rescued {
		runner.cancel()
		r.mu.Lock()
		delete(r.runners, v.Cell)
		r.mu.Unlock()
	}
}

func (r *rescuer) startCell(cell int) *cellRunner {
	id := scheduler.CellID{DataCentre: r.dataCentre, Index: cell}
	runner := r.newRunner(r.claims.ctx, id, r, func() {})
	r.mu.Lock()
	r.runners[cell] = runner
	r.mu.Unlock()
	r.events.Log(logevent.CellRescued, zap.String("dataCentre", r.dataCentre), zap.Int("cell", cell))
	r.startBackground(runner.run)
	return runner
}

// vmList implements cellHost. The list is empty, because a rescuer places
// nothing on the cell's workers.
func (r *rescuer) vmList() *vmList { return &emptyVMList }

var emptyVMList vmList

// cellCount implements cellHost.
func (r *rescuer) cellCount() int { return r.numCells }

// askPromises implements claimsHandler. A rescuer does not need promises.
func (r *rescuer) askPromises(ownership.AskPromises) {}

// drainCell implements claimsHandler. A rescuer sends no requests, so the cell
// is drained immediately.
func (r *rescuer) drainCell(cell int) { r.claims.send(ownership.CellDrained{Cell: cell}) }

// stopCompleted implements claimsHandler. A rescuer never joins, so it never
// leaves.
func (r *rescuer) stopCompleted() {}

// offerRenewal implements claimsHandler. A rescuer does not renew.
func (r *rescuer) offerRenewal(uint64) []string { return nil }

// renewalRecorded implements claimsHandler.
func (r *rescuer) renewalRecorded(uint64) {}

func (n *Node) rescuedRunners() []*cellRunner {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*cellRunner
	for _, r := range n.rescuers {
		for _, runner := range r.runners {
			list = append(list, runner)
		}
	}
	return list
}

// findRunner returns the runner of an owned or rescued cell, or nil.
func (n *Node) findRunner(dataCentre string, cell int) *cellRunner {
	all := slices.Concat(n.ownedRunners(), n.rescuedRunners())
	for _, r := range all {
		if r.cell == (scheduler.CellID{DataCentre: dataCentre, Index: cell}) {
			return r
		}
	}
	return nil
}
