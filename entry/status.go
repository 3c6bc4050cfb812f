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

// statusSource collects the status of services and jobs from the owners of cells.
// It implements operator.StatusSource.
type statusSource struct {
	node *Node
}

// Statuses implements operator.StatusSource with one request to each owner.
func (s *statusSource) Statuses(ctx context.Context, list []api.Resource) ([]api.Status, error) {
	work := make([]*peerpb.WorkID, len(list))
	for i, r := range list {
		work[i] = &peerpb.WorkID{Name: r.Name, Created: int64(r.Created)}
	}
	cells := s.node.collectTaskCounts(ctx, work)
	unknown := max(0, s.node.declaredCells()-len(cells))
	statuses := make([]api.Status, len(list))
	for i, r := range list {
		statuses[i] = sumStatus(r, cells, i, unknown)
	}
	return statuses, nil
}

// sumStatus adds up the counts at one index over all cells.
func sumStatus(r api.Resource, cells []*peerpb.CellCount, index, unknown int) api.Status {
	status := api.Status{UnknownCells: unknown}
	reason := ""
	for _, c := range cells {
		count := c.Counts[index]
		status.Pending += int(count.Pending)
		status.Running += int(count.Running)
		status.Completed += int(count.Completed)
		status.Failed += int(count.Failed)
		reason = firstNonEmpty(reason, count.Reason)
	}
	status.Conditions = conditions(r, status, reason)
	return status
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// declaredCells returns the number of cells of all declared data centres.
func (n *Node) declaredCells() int {
	total := 0
	for _, r := range n.feed.store.View().List(api.KindDataCentre) {
		total += r.DataCentre.Cells
	}
	return total
}

// conditions returns the conditions of a service or job, with the reason why tasks
// are pending or failed.
func conditions(r api.Resource, status api.Status, reason string) []api.Condition {
	placed := api.Condition{Type: conditionPlaced, Status: api.ConditionTrue, Reason: "AllPlaced", Message: "no task is waiting for a worker"}
	switch {
	case status.Pending > 0:
		placed.Status = api.ConditionFalse
		placed.Reason = "Pending"
		placed.Message = fmt.Sprintf("%d tasks are waiting: %s", status.Pending, firstNonEmpty(reason, "not yet evaluated by the scheduler"))
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
		c.Message = fmt.Sprintf("%d tasks failed permanently: %s", status.Failed, firstNonEmpty(reason, "no message"))
	}
	return c
}
