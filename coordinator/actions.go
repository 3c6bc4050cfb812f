package coordinator

import (
	"context"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/workload"
)

// workersOf returns the workers in the list that belong to a cell.
func (n *Node) workersOf(c *cell, list []workload.Worker) []workload.Worker {
	var assigned []workload.Worker
	for _, w := range list {
		if n.cellOf(w.ID()) == c {
			assigned = append(assigned, w)
		}
	}
	return assigned
}

// step passes an event to the machine and executes the resulting actions.
func (o *ownership) step(ctx context.Context, ev dispatch.Event) {
	if suspended := o.node.authorityNow() - o.node.monotonicNow(); suspended-o.suspended > suspensionTolerance {
		o.suspended = suspended
		o.step(ctx, dispatch.Resumed{})
	}
	began := o.node.monotonicNow()
	actions := o.machine.Step(began, ev)
	o.pacePlanning(o.node.monotonicNow() - began)
	for _, action := range actions {
		o.execute(ctx, action)
	}
}

// execute carries out an action. A node whose authority has run out, for example
// while it was suspended, sends no command: its successor may have started the same
// tasks elsewhere.
func (o *ownership) execute(ctx context.Context, action dispatch.Action) {
	if !o.hasAuthority() {
		o.cancel()
		return
	}
	switch a := action.(type) {
	case dispatch.Append:
		o.writer.enqueue(a)
	case dispatch.Heartbeat:
		o.wg.Go(func() { o.heartbeat(ctx, a) })
	case dispatch.Start:
		o.wg.Go(func() { o.startRun(ctx, a) })
	case dispatch.Stop:
		o.wg.Go(func() { o.stopRun(ctx, a) })
	case dispatch.Pace:
		o.wg.Go(func() { o.paceRun(ctx, a) })
	case dispatch.StepDown:
		o.node.logger.Log(logevent.EpochFenced, zap.Int64("epoch", o.epoch), zap.String("worker", a.Worker))
		o.cancel()
	case dispatch.Decision:
		if a.Kind == dispatch.RunPlaced {
			o.notePlacement()
		}
		o.node.logDecision(o.number, o.epoch, a)
	case dispatch.ViewExpired:
		o.reportExpired(a)
	case dispatch.ViewRenewed:
		o.reportRenewed(a)
	case dispatch.WitnessesRecorded:
		o.witnesses.Recorded(a.Number)
	case dispatch.TenantsReported:
		o.node.metrics.reportTenants(o.number, a.Tenants)
	case dispatch.OutlookChanged:
		o.outlooks.publish(a.Outlook, o.epoch, o.node.monotonicNow())
	case dispatch.FindCapacity:
		o.wg.Go(func() { o.findCapacity(ctx, a) })
	case dispatch.Transfer:
		o.wg.Go(func() { o.transfer(ctx, a) })
	case dispatch.CheckGuests:
		o.wg.Go(func() { o.checkGuests(ctx, a.IDs) })
	}
}

func (o *ownership) heartbeat(ctx context.Context, h dispatch.Heartbeat) {
	sent := o.node.monotonicNow()
	call, cancel := context.WithTimeout(ctx, h.Wait+dispatch.CommandTimeout)
	report, answer := o.node.platform.WorkerClient.Heartbeat(call, o.epoch, h)
	cancel()
	if answer != dispatch.Done {
		o.post(ctx, dispatch.HeartbeatFailed{Worker: h.Worker, Answer: answer})
		return
	}
	o.post(ctx, dispatch.HeartbeatAnswered{Worker: h.Worker, SentAt: sent, Report: report})
}

func (o *ownership) startRun(ctx context.Context, s dispatch.Start) {
	sent := o.node.monotonicNow()
	call, cancel := context.WithTimeout(ctx, dispatch.CommandTimeout)
	result := o.node.platform.WorkerClient.Start(call, o.epoch, s)
	cancel()
	took := o.node.monotonicNow() - sent
	o.node.metrics.observeStart(result.Answer, took)
	o.post(ctx, dispatch.StartAnswered{Worker: s.Worker, Run: s.Run, Answer: result.Answer, Clock: result.Clock, Found: result.Found, Took: took})
}

func (o *ownership) stopRun(ctx context.Context, s dispatch.Stop) {
	call, cancel := context.WithTimeout(ctx, dispatch.CommandTimeout)
	answer := o.node.platform.WorkerClient.Stop(call, o.epoch, s)
	cancel()
	o.post(ctx, dispatch.StopAnswered{Worker: s.Worker, Incarnation: s.Incarnation, Run: s.Run, Answer: answer})
}

func (o *ownership) paceRun(ctx context.Context, p dispatch.Pace) {
	call, cancel := context.WithTimeout(ctx, dispatch.CommandTimeout)
	answer := o.node.platform.WorkerClient.Pace(call, o.epoch, p)
	cancel()
	o.post(ctx, dispatch.PaceAnswered{Worker: p.Worker, Run: p.Run, Percent: p.Percent, Answer: answer})
}
