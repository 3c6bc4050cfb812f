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
	rescueInterval = 5 * time.Second
	// rescueSilence is how long no entry VM of a data centre must have answered
	// before its claims are followed. Following them costs log reads, and the
	// rescue itself waits for the offline limit after that.
	rescueSilence = time.Minute
	// rescuePoll is how often the claims of a silent data centre are read.
	rescuePoll = 5 * time.Second
)

// rescuer moves the tasks out of cells of another data centre whose owners
// have been silent for so long that every task lease there has ended. It
// handles the actions of the ownership machine for that data centre.
type rescuer struct {
	*Node
	dataCentre string
	claims     *claimsRunner
	cancel     context.CancelFunc
	// cellCount is the number of cells of the data centre.
	cellCount int
	// runners is used by the claims runner's goroutine and, for messages and
	// summaries, by others; the node's lock guards it.
	runners map[int]*cellRunner
}

// rescue starts and ends rescuers. It is the work of the owner of cell 0.
func (n *Node) rescue(ctx context.Context) {
	now := n.clock()
	silence := min(rescueSilence, n.settings.Times.OfflineTasks)
	for dc, last := range n.lastHeard(now) {
		active := n.rescuers[dc]
		silent := now-last >= silence
		switch {
		case active == nil && silent && n.ownsFirstCell():
			n.startRescuer(ctx, dc)
		case active != nil && !silent:
			active.cancel()
			n.mu.Lock()
			delete(n.rescuers, dc)
			n.mu.Unlock()
		}
	}
}

// lastHeard returns when a peer of each other data centre last answered; 0 if
// none ever did.
func (n *Node) lastHeard(now time.Duration) map[string]time.Duration {
	heard := make(map[string]time.Duration)
	for _, p := range n.peers {
		dc := p.client.Address.DataCentre
		if dc == n.settings.DataCentre {
			continue
		}
		heard[dc] = max(heard[dc], p.lastAnswerAt())
		heard[dc] = min(heard[dc], now)
	}
	return heard
}

func (n *Node) ownsFirstCell() bool {
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
	r := &rescuer{Node: n, dataCentre: dataCentre, cellCount: declared.DataCentre.Cells, runners: make(map[int]*cellRunner)}
	t := n.settings.Times
	config := ownership.DefaultConfig(n.settings.VM, dataCentre, n.incarnation, r.cellCount)
	config.Rescuer = true
	config.Lease = t.OwnerLease
	config.Drift = t.ClockDrift
	config.OfflineLimit = t.OfflineTasks
	config.TaskLease = t.TaskLease
	w := n.writerFor(record.ClaimsStream(dataCentre), func() {})
	ctx, r.cancel = context.WithCancel(ctx)
	r.claims = newClaimsRunner(ctx, config, n.log, w, r, n.events, n.clock, rescuePoll)
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
	runner.send(cellMessage{view: &v})
	if !rescued {
		runner.cancel()
		r.mu.Lock()
		delete(r.runners, v.Cell)
		r.mu.Unlock()
	}
}

func (r *rescuer) startCell(cell int) *cellRunner {
	id := scheduler.CellID{DataCentre: r.dataCentre, Index: cell}
	runner := r.makeCell(r.claims.ctx, id, r, func() {})
	r.mu.Lock()
	r.runners[cell] = runner
	r.mu.Unlock()
	r.events.Log(logevent.CellRescued, zap.String("dataCentre", r.dataCentre), zap.Int("cell", cell))
	r.startBackground(runner.run)
	return runner
}

// listed implements cellHost: nothing is placed on the cell's workers.
func (r *rescuer) listed() *workerList { return &emptyList }

var emptyList workerList

// cells implements cellHost.
func (r *rescuer) cells() int { return r.cellCount }

// askPromises implements claimsHandler; a rescuer has nothing to defend.
func (r *rescuer) askPromises(ownership.AskPromises) {}

// drainCell implements claimsHandler; a rescuer sends no requests.
func (r *rescuer) drainCell(cell int) { r.claims.send(ownership.CellDrained{Cell: cell}) }

// left implements claimsHandler; a rescuer never joined.
func (r *rescuer) left() {}

// offerRenewal implements claimsHandler; a rescuer renews nothing.
func (r *rescuer) offerRenewal(uint64) []string { return nil }

// renewalRecorded implements claimsHandler.
func (r *rescuer) renewalRecorded(uint64) {}

// rescuedRunners returns the runners of rescued cells.
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

// runnerOf returns the runner of an own or rescued cell, or nil.
func (n *Node) runnerOf(dataCentre string, cell int) *cellRunner {
	all := slices.Concat(n.runners(), n.rescuedRunners())
	for _, r := range all {
		if r.cell == (scheduler.CellID{DataCentre: dataCentre, Index: cell}) {
			return r
		}
	}
	return nil
}
