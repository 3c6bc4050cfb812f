package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/peer/peerpb"
	"github.com/cactusreel/cactusreel/tasks"
)

// countTasks counts the tasks of a cell by job key: "<name>/<version of the
// creation>".
func countTasks(list []tasks.View, reasons map[string]string) map[string]*peerpb.TaskCount {
	counts := make(map[string]*peerpb.TaskCount)
	for _, t := range list {
		key := jobKeyOfTask(t.Task)
		c := counts[key]
		if c == nil {
			c = &peerpb.TaskCount{}
			counts[key] = c
		}
		countTask(c, t, reasons[t.Task])
	}
	return counts
}

func countTask(c *peerpb.TaskCount, t tasks.View, reason string) {
	switch t.Status {
	case tasks.StatusPending:
		c.Pending++
		c.Reason = firstNonEmpty(reason, c.Reason)
	case tasks.StatusPlaced, tasks.StatusEvicting:
		c.Running++
	case tasks.StatusCompleted:
		c.Completed++
	case tasks.StatusFailed:
		c.Failed++
		c.Reason = firstNonEmpty(t.Message, c.Reason)
	}
}

// ownedTaskCounts counts tasks in the owned and rescued cells. Each cell's
// counts are in the order of work.
func (n *Node) ownedTaskCounts(work []*peerpb.WorkID) []*peerpb.CellCount {
	var list []*peerpb.CellCount
	for _, r := range slices.Concat(n.ownedRunners(), n.rescuedRunners()) {
		v := r.view()
		if v.term == 0 {
			continue
		}
		c := &peerpb.CellCount{DataCentre: r.cell.DataCentre, Cell: int32(v.cell), Term: v.term}
		for _, w := range work {
			count := v.taskCounts[jobKey(tasks.Work{Name: w.Name, Created: api.Version(w.Created)})]
			if count == nil {
				count = &peerpb.TaskCount{}
			}
			c.Counts = append(c.Counts, count)
		}
		list = append(list, c)
	}
	return list
}

// collectTaskCounts requests the counts of all reachable peers and returns the
// counts of each cell. If two VMs count the same cell, the higher term wins.
func (n *Node) collectTaskCounts(ctx context.Context, work []*peerpb.WorkID) []*peerpb.CellCount {
	var mu sync.Mutex
	newest := make(map[string]*peerpb.CellCount)
	add := func(cells []*peerpb.CellCount) {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range cells {
			key := fmt.Sprintf("%s/%d", c.DataCentre, c.Cell)
			if other := newest[key]; other == nil || other.Term < c.Term {
				newest[key] = c
			}
		}
	}
	add(n.ownedTaskCounts(work))
	var requests sync.WaitGroup
	for _, p := range n.peers {
		if _, reachable := p.recentSummary(n.clock()); reachable {
			requests.Go(func() { add(n.requestTaskCounts(ctx, p, work)) })
		}
	}
	requests.Wait()
	list := make([]*peerpb.CellCount, 0, len(newest))
	for _, c := range newest {
		list = append(list, c)
	}
	return list
}

// requestTaskCounts requests the counts of one peer. It returns nil if the peer
// does not answer or its response does not match work.
func (n *Node) requestTaskCounts(ctx context.Context, p *peerState, work []*peerpb.WorkID) []*peerpb.CellCount {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Times.PeerTimeout)
	defer cancel()
	response, err := p.client.CountTasks(ctx, &peerpb.CountTasksRequest{Work: work})
	if err != nil {
		return nil
	}
	for _, c := range response.Cells {
		if len(c.Counts) != len(work) {
			return nil
		}
	}
	return response.Cells
}
