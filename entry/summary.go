package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/peer/peerpb"
	"github.com/cactusreel/cactusreel/scheduler"
	"github.com/cactusreel/cactusreel/tasks"
)

// publishedSummary is this VM's last published summary. The version increases
// when the content changes, so that peers fetch only changes.
type publishedSummary struct {
	version uint64
	current *peerpb.SummaryResponse
}

// currentSummary returns this VM's summary, without cells if its version is
// known.
func (n *Node) currentSummary(known uint64) *peerpb.SummaryResponse {
	summary := n.buildSummary()
	n.summaryMu.Lock()
	defer n.summaryMu.Unlock()
	if n.publishedSummary.current == nil || !sameSummary(n.publishedSummary.current, summary) {
		n.publishedSummary.version++
		summary.Version = n.publishedSummary.version
		n.publishedSummary.current = summary
	}
	if n.publishedSummary.version != known {
		return n.publishedSummary.current
	}
	return &peerpb.SummaryResponse{Vm: summary.Vm, Incarnation: summary.Incarnation, Version: known, Unchanged: true}
}

// sameSummary compares two summaries regardless of their versions. It sets the
// version of b to that of a.
func sameSummary(a, b *peerpb.SummaryResponse) bool {
	b.Version = a.Version
	return proto.Equal(a, b)
}

// buildSummary returns a summary of this VM's state without a version.
func (n *Node) buildSummary() *peerpb.SummaryResponse {
	s := &peerpb.SummaryResponse{
		Vm:          n.settings.VM,
		Incarnation: n.incarnation,
		DataCentre:  n.settings.DataCentre,
		Ready:       n.Ready() == nil,
	}
	free := n.freeSlots()
	for _, r := range n.ownedRunners() {
		s.Cells = append(s.Cells, n.cellSummary(r.view(), free[r.cell.Index]))
	}
	for _, r := range n.rescuedRunners() {
		// Only the identity and the term of a rescued cell: peers send this VM the
		// confirmations of moves out of it.
		s.Cells = append(s.Cells, &peerpb.CellSummary{DataCentre: r.cell.DataCentre, Cell: int32(r.cell.Index), Term: r.view().term})
	}
	slices.SortFunc(s.Cells, func(a, b *peerpb.CellSummary) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Cell, b.Cell))
	})
	return s
}

// freeSlots returns the free slots per service of each owned cell.
func (n *Node) freeSlots() map[int]map[string]int {
	free := make(map[int]map[string]int)
	for _, c := range n.router.Summaries(n.clock()) {
		free[c.Cell] = c.Free
	}
	return free
}

func (n *Node) cellSummary(v *cellView, free map[string]int) *peerpb.CellSummary {
	s := &peerpb.CellSummary{
		DataCentre:           n.settings.DataCentre,
		Cell:                 int32(v.cell),
		Term:                 v.term,
		Workers:              int32(len(v.workers)),
		FreeMilliCpu:         v.summary.Free.MilliCPU,
		FreeMemoryMib:        v.summary.Free.MemoryMiB,
		FreeAccelerators:     v.summary.Free.Accelerators,
		LargestMilliCpu:      v.summary.Largest.MilliCPU,
		LargestMemoryMib:     v.summary.Largest.MemoryMiB,
		LargestAccelerators:  v.summary.Largest.Accelerators,
		CapacityMilliCpu:     v.summary.Capacity.MilliCPU,
		CapacityMemoryMib:    v.summary.Capacity.MemoryMiB,
		CapacityAccelerators: v.summary.Capacity.Accelerators,
		PendingMilliCpu:      v.summary.Pending.MilliCPU,
		PendingMemoryMib:     v.summary.Pending.MemoryMiB,
		PendingAccelerators:  v.summary.Pending.Accelerators,
		Phase:                int32(v.summary.Phase),
		PhaseAgeMs:           v.summary.PhaseAge.Milliseconds(),
		Accepting:            v.accepting,
	}
	for _, r := range n.feed.store.View().List(api.KindService) {
		slots, routed := free[r.Name]
		count := v.taskCounts[jobKey(serviceWork(r))]
		if !routed && count.GetRunning() == 0 {
			continue
		}
		s.Services = append(s.Services, &peerpb.ServiceSummary{
			Service:   r.Name,
			Replicas:  count.GetRunning(),
			FreeSlots: int32(slots),
			Created:   int64(r.Created),
		})
	}
	return s
}

// maxRemotePolls bounds the peers of other data centres that are polled in one
// round. The free slots in this data centre must be known within a second; the
// summaries of other data centres only decide moves. With 110 entry VMs,
// polling all of them every 300 ms made 363 requests per second and VM.
const maxRemotePolls = 10

// pollPeers polls the summaries of all peers of this data centre, and of the
// others in turn.
func (n *Node) pollPeers(ctx context.Context) {
	n.pollRound++
	remote := 0
	for _, p := range n.peers {
		if p.client.Address.DataCentre != n.settings.DataCentre {
			remote++
			if remote%p.roundsPerPoll != n.pollRound%p.roundsPerPoll {
				continue
			}
		}
		n.startBackground(func() { n.pollPeer(ctx, p) })
	}
}

// setPollRounds sets in how many rounds of pollPeers each peer is polled once.
func (n *Node) setPollRounds() {
	remote := 0
	for _, p := range n.peers {
		p.roundsPerPoll = 1
		if p.client.Address.DataCentre != n.settings.DataCentre {
			remote++
		}
	}
	for _, p := range n.peers {
		if p.client.Address.DataCentre != n.settings.DataCentre {
			p.roundsPerPoll = max(1, (remote+maxRemotePolls-1)/maxRemotePolls)
		}
	}
}

func (n *Node) pollPeer(ctx context.Context, p *peerState) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Times.PeerTimeout)
	defer cancel()
	response, err := p.client.Summary(ctx, &peerpb.SummaryRequest{Known: p.version()})
	if err != nil {
		return
	}
	p.storeSummary(response, n.clock())
}

// otherCellSummaries returns, for the policy, the summaries of this VM's cells
// except one and of the peers' cells that accept tasks.
func (n *Node) otherCellSummaries(cell int) []scheduler.CellSummary {
	now := n.clock()
	var list []scheduler.CellSummary
	for _, r := range n.ownedRunners() {
		if s := r.view().summary; r.cell.Index != cell && s.Cell.DataCentre != "" {
			list = append(list, s)
		}
	}
	for _, p := range n.peers {
		summary, ok := p.recentSummary(now)
		if !ok {
			continue
		}
		for _, c := range summary.Cells {
			if c.Accepting {
				list = append(list, schedulerSummary(c, p.lastAnswerAt()))
			}
		}
	}
	return list
}

// schedulerSummary converts a peer's summary that was valid at a local time.
func schedulerSummary(c *peerpb.CellSummary, at time.Duration) scheduler.CellSummary {
	s := scheduler.CellSummary{
		Cell:     scheduler.CellID{DataCentre: c.DataCentre, Index: int(c.Cell)},
		Phase:    scheduler.Phase(c.Phase),
		PhaseAge: time.Duration(c.PhaseAgeMs) * time.Millisecond,
		Free:     hostapi.Resources{MilliCPU: c.FreeMilliCpu, MemoryMiB: c.FreeMemoryMib, Accelerators: c.FreeAccelerators},
		Largest:  hostapi.Resources{MilliCPU: c.LargestMilliCpu, MemoryMiB: c.LargestMemoryMib, Accelerators: c.LargestAccelerators},
		Capacity: hostapi.Resources{MilliCPU: c.CapacityMilliCpu, MemoryMiB: c.CapacityMemoryMib, Accelerators: c.CapacityAccelerators},
		Pending:  hostapi.Resources{MilliCPU: c.PendingMilliCpu, MemoryMiB: c.PendingMemoryMib, Accelerators: c.PendingAccelerators},
		Replicas: make(map[string]int),
		At:       at,
	}
	for _, service := range c.Services {
		s.Replicas[jobKey(tasks.Work{Name: service.Service, Created: api.Version(service.Created)})] = int(service.Replicas)
	}
	return s
}
