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

// summaryVersion is this VM's published summary. The version grows when the
// content changes, so that peers fetch only changes.
type summaryVersion struct {
	version uint64
	current *peerpb.SummaryResponse
}

// summary returns this VM's summary, without cells if the caller knows it.
func (n *Node) summary(known uint64) *peerpb.SummaryResponse {
	fresh := n.makeSummary()
	n.summaryMu.Lock()
	defer n.summaryMu.Unlock()
	if n.summaries.current == nil || !sameSummary(n.summaries.current, fresh) {
		n.summaries.version++
		fresh.Version = n.summaries.version
		n.summaries.current = fresh
	}
	if n.summaries.version != known {
		return n.summaries.current
	}
	return &peerpb.SummaryResponse{Vm: fresh.Vm, Incarnation: fresh.Incarnation, Version: known, Unchanged: true}
}

// sameSummary compares two summaries without their versions.
func sameSummary(a, b *peerpb.SummaryResponse) bool {
	b.Version = a.Version
	return proto.Equal(a, b)
}

func (n *Node) makeSummary() *peerpb.SummaryResponse {
	s := &peerpb.SummaryResponse{
		Vm:          n.settings.VM,
		Incarnation: n.incarnation,
		DataCentre:  n.settings.DataCentre,
		Ready:       n.Ready() == nil,
	}
	free := n.freeSlots()
	for _, r := range n.runners() {
		s.Cells = append(s.Cells, n.cellSummary(r.view(), free[r.cell.Index]))
	}
	for _, r := range n.rescuedRunners() {
		// Only the cell's name and term: moves out of it are confirmed here.
		s.Cells = append(s.Cells, &peerpb.CellSummary{DataCentre: r.cell.DataCentre, Cell: int32(r.cell.Index), Term: r.view().term})
	}
	slices.SortFunc(s.Cells, func(a, b *peerpb.CellSummary) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Cell, b.Cell))
	})
	return s
}

// freeSlots returns the free slots per service of each own cell.
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
		Accepting:            v.accepting,
	}
	for _, r := range n.feed.store.View().List(api.KindService) {
		slots, routed := free[r.Name]
		count := v.counts[jobKey(serviceWork(r))]
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

// farPolls bounds the peers of other data centres that are asked for their
// summaries at a time. Free slots of the own data centre count within a second;
// summaries of the others only decide moves. At 110 entry VMs, asking all of
// them every 300 ms made 363 questions per second and VM.
const farPolls = 10

// pollPeers asks the peers of this data centre for their summaries, and the
// others in turn.
func (n *Node) pollPeers(ctx context.Context) {
	n.pollRound++
	far := 0
	for _, p := range n.peers {
		if p.client.Address.DataCentre != n.settings.DataCentre {
			far++
			if far%p.roundsPerPoll != n.pollRound%p.roundsPerPoll {
				continue
			}
		}
		n.startBackground(func() { n.pollPeer(ctx, p) })
	}
}

// setRounds works out in how many rounds of pollPeers each peer is asked once.
func (n *Node) setRounds() {
	far := 0
	for _, p := range n.peers {
		p.roundsPerPoll = 1
		if p.client.Address.DataCentre != n.settings.DataCentre {
			far++
		}
	}
	for _, p := range n.peers {
		if p.client.Address.DataCentre != n.settings.DataCentre {
			p.roundsPerPoll = max(1, (far+farPolls-1)/farPolls)
		}
	}
}

func (n *Node) pollPeer(ctx context.Context, p *peerState) {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Times.PeerTimeout)
	defer cancel()
	answer, err := p.client.Summary(ctx, &peerpb.SummaryRequest{Known: p.version()})
	if err != nil {
		return
	}
	p.storeSummary(answer, n.clock())
}

// otherCells returns the summaries of all cells but one, for the policy.
func (n *Node) otherCells(cell int) []scheduler.CellSummary {
	now := n.clock()
	var list []scheduler.CellSummary
	for _, r := range n.runners() {
		if s := r.view().summary; r.cell.Index != cell && s.Cell.DataCentre != "" {
			list = append(list, s)
		}
	}
	for _, p := range n.peers {
		word, ok := p.recentSummary(now)
		if !ok {
			continue
		}
		for _, c := range word.Cells {
			if c.Accepting {
				list = append(list, policySummary(c, p.lastAnswerAt()))
			}
		}
	}
	return list
}

// policySummary converts a peer's summary, which held at a local time.
func policySummary(c *peerpb.CellSummary, at time.Duration) scheduler.CellSummary {
	s := scheduler.CellSummary{
		Cell:     scheduler.CellID{DataCentre: c.DataCentre, Index: int(c.Cell)},
		Phase:    scheduler.Phase(c.Phase),
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
