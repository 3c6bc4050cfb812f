package entry

import (
	"context"
	"fmt"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/peer/peerpb"
)

// Condition types of services and jobs.
const (
	conditionPlaced   = "Placed"
	conditionComplete = "Complete"
)

// statusSource collects the state of services and jobs from the summaries of
// the cell owners. It implements operator.StatusSource.
type statusSource struct {
	node *Node
}

// Status implements operator.StatusSource.
func (s *statusSource) Status(_ context.Context, r api.Resource) (api.Status, error) {
	var status api.Status
	reason := ""
	known := 0
	for _, c := range s.node.allCells() {
		known++
		for _, w := range c.Work {
			if w.Name == r.Name && w.Created == int64(r.Created) {
				addWork(&status, w)
				reason = firstNonEmpty(reason, w.Reason)
			}
		}
	}
	status.UnknownCells = max(0, s.node.declaredCells()-known)
	status.Conditions = conditions(r, status, reason)
	return status, nil
}

func addWork(status *api.Status, w *peerpb.WorkSummary) {
	status.Pending += int(w.Pending)
	status.Running += int(w.Running)
	status.Completed += int(w.Completed)
	status.Failed += int(w.Failed)
	status.Evictions += int(w.Evictions)
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// allCells returns the newest summary of each cell that is known here. Of two
// VMs that both summarise a cell the one with the higher term counts.
func (n *Node) allCells() []*peerpb.CellSummary {
	newest := make(map[string]*peerpb.CellSummary)
	add := func(c *peerpb.CellSummary) {
		key := fmt.Sprintf("%s/%d", c.DataCentre, c.Cell)
		if other := newest[key]; other == nil || other.Term < c.Term {
			newest[key] = c
		}
	}
	for _, c := range n.makeSummary().Cells {
		add(c)
	}
	now := n.clock()
	for _, p := range n.peers {
		if word, ok := p.word(now); ok {
			for _, c := range word.Cells {
				add(c)
			}
		}
	}
	list := make([]*peerpb.CellSummary, 0, len(newest))
	for _, c := range newest {
		list = append(list, c)
	}
	return list
}

// declaredCells returns the number of cells of all data centres.
func (n *Node) declaredCells() int {
	total := 0
	for _, r := range n.feed.store.View().List(api.KindDataCentre) {
		total += r.DataCentre.Cells
	}
	return total
}

// conditions says why a service or job is as it is.
func conditions(r api.Resource, status api.Status, reason string) []api.Condition {
	placed := api.Condition{Type: conditionPlaced, Status: api.ConditionTrue, Reason: "AllPlaced", Message: "no task waits for a worker"}
	switch {
	case status.Pending > 0:
		placed.Status = api.ConditionFalse
		placed.Reason = "Pending"
		placed.Message = fmt.Sprintf("%d tasks wait: %s", status.Pending, firstNonEmpty(reason, "not yet considered"))
	case status.UnknownCells > 0:
		placed.Status = api.ConditionUnknown
		placed.Reason = "CellsUnknown"
		placed.Message = fmt.Sprintf("the owners of %d cells did not answer", status.UnknownCells)
	}
	list := []api.Condition{placed}
	if r.Job != nil {
		list = append(list, completeCondition(r.Job, status, reason))
	}
	return list
}

func completeCondition(job *api.JobSpec, status api.Status, reason string) api.Condition {
	c := api.Condition{Type: conditionComplete, Status: api.ConditionFalse, Reason: "InProgress"}
	c.Message = fmt.Sprintf("%d of %d tasks completed", status.Completed, job.Tasks)
	switch {
	case status.Completed >= job.Tasks:
		c.Status = api.ConditionTrue
		c.Reason = "Completed"
	case job.Cancelled:
		c.Reason = "Cancelled"
	case status.Failed > 0:
		c.Reason = "TasksFailed"
		c.Message = fmt.Sprintf("%d tasks failed for good: %s", status.Failed, firstNonEmpty(reason, "no message"))
	}
	return c
}
