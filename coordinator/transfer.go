package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/workload"
)

// capacityRequest is a query for the free capacity of a cell's workers.
type capacityRequest struct {
	demands []dispatch.Demand
	answer  chan []int
}

// findCapacity asks the owners of all other cells for free capacity and posts each
// answer when it arrives.
func (o *ownership) findCapacity(ctx context.Context, a dispatch.FindCapacity) {
	call, cancel := context.WithTimeout(ctx, capacityTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, number := range rand.Perm(len(o.node.cells)) {
		if number == o.number {
			continue
		}
		wg.Go(func() {
			tasks, ok := o.node.freeCapacity(call, o.node.cells[number], a.Demands)
			if ok && len(tasks) == len(a.Demands) && slices.Max(tasks) > 0 {
				o.post(ctx, dispatch.CapacityFound{Cell: number, Tasks: tasks})
			}
		})
	}
	wg.Wait()
	o.post(ctx, dispatch.SearchEnded{})
}

// freeCapacity asks a cell's owner. It returns false if the owner does not answer.
func (n *Node) freeCapacity(ctx context.Context, c *cell, demands []dispatch.Demand) (tasks []int, ok bool) {
	if c.owning.Load() {
		return c.freeCapacity(ctx, demands)
	}
	request := &coordpb.FreeCapacityRequest{Cell: int32(c.number)}
	for _, d := range demands {
		request.Demands = append(request.Demands, demandMessage(d))
	}
	ok = n.queryOwner(ctx, c, func(ctx context.Context, owner coordpb.Coordinator) (bool, error) {
		answer, err := owner.FreeCapacity(ctx, request)
		if err != nil {
			return false, err
		}
		tasks = nil
		for _, count := range answer.Tasks {
			tasks = append(tasks, int(count))
		}
		return answer.Owner, nil
	})
	return tasks, ok
}

// freeCapacity asks the cell's event loop at this node. It returns false if this node
// does not own the cell any more.
func (c *cell) freeCapacity(ctx context.Context, demands []dispatch.Demand) ([]int, bool) {
	q := capacityRequest{demands: demands, answer: make(chan []int, 1)}
	ctx, cancel := context.WithTimeout(ctx, capacityTimeout)
	defer cancel()
	select {
	case c.capacityRequests <- q:
	case <-ctx.Done():
		return nil, false
	}
	select {
	case tasks := <-q.answer:
		return tasks, true
	case <-ctx.Done():
		return nil, false
	}
}

// FreeCapacity handles a query of another node for free capacity.
func (n *Node) FreeCapacity(ctx context.Context, q *coordpb.FreeCapacityRequest) (*coordpb.FreeCapacityAnswer, error) {
	c := n.cell(q.Cell)
	if c == nil || !c.owning.Load() {
		return &coordpb.FreeCapacityAnswer{}, nil
	}
	var demands []dispatch.Demand
	for _, message := range q.Demands {
		d := demandOf(message)
		if err := d.Validate(); err != nil {
			return nil, twirp.InvalidArgument.Error(err.Error())
		}
		demands = append(demands, d)
	}
	tasks, owner := c.freeCapacity(ctx, demands)
	answer := &coordpb.FreeCapacityAnswer{Owner: owner}
	for _, count := range tasks {
		answer.Tasks = append(answer.Tasks, int32(count))
	}
	return answer, nil
}

func demandMessage(d dispatch.Demand) *coordpb.Demand {
	return &coordpb.Demand{
		Submission: d.Submission, Occurrence: int32(d.Occurrence), Step: int32(d.StepIndex), Tasks: int32(d.Tasks),
		Service: d.Service, Priority: int32(d.Priority), Label: d.Step.Label, Image: d.Step.Image,
		MilliCpu: d.Step.Request.MilliCPU, MemoryMib: d.Step.Request.MemoryMiB, Accelerators: d.Step.Request.Accelerators,
		MaxPerWorker: int32(d.Step.MaxPerWorker), BestEffort: d.Step.BestEffort,
	}
}

func demandOf(d *coordpb.Demand) dispatch.Demand {
	return dispatch.Demand{
		Submission: d.Submission, Occurrence: int(d.Occurrence), StepIndex: int(d.Step), Tasks: int(d.Tasks),
		Service: d.Service, Priority: int(d.Priority),
		Step: &workload.Step{
			Request: hostapi.Resources{MilliCPU: d.MilliCpu, MemoryMiB: d.MemoryMib, Accelerators: d.Accelerators},
			Label:   d.Label, Image: d.Image, MaxPerWorker: int(d.MaxPerWorker), BestEffort: d.BestEffort,
		},
	}
}

// transfer appends a Transferred record to the intake of another cell. It retries until
// the record is in the log or the ownership ends; the next owner then transfers the task
// again.
func (o *ownership) transfer(ctx context.Context, a dispatch.Transfer) {
	target := o.node.cell(int32(a.Cell))
	if target == nil {
		o.node.logger.Log(logevent.BadLedgerRecord, zap.Int("cell", o.number), zap.Error(fmt.Errorf("task is released to cell %d, which does not exist", a.Cell)))
		return
	}
	data := mustEncode(a.Record)
	for attempt := 1; ctx.Err() == nil; attempt++ {
		err := target.intakeWriter.append(ctx, data)
		if err == nil {
			return
		}
		if attempt == 1 && ctx.Err() == nil {
			o.node.logError(logevent.AppendRepeated, err, zap.Int("cell", a.Cell), zap.Int("records", 1))
		}
		sleep(ctx, retryDelay(attempt))
	}
}

// takesTransfer reports whether transferred tasks are taken over. A submission of this
// cell that the ledger does not have any more has ended.
func (c *cell) takesTransfer(r *ledgerpb.Transferred) bool {
	return c.node.cellOf(r.Id) != c || c.ledger().Find(r.Id) != nil
}
