package coordinator

import (
	"context"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/workload"
)

// workersOf returns the workers of a cell.
func (n *Node) workersOf(c *cell, list []workload.Worker) []workload.Worker {
	var mine []workload.Worker
	for _, w := range list {
		if n.cellOf(w.ID()) == c {
			mine = append(mine, w)
		}
	}
	return mine
}

// step gives the machine an event and carries out what it asks for.
func (o *ownership) step(ctx context.Context, ev dispatch.Event) {
	for _, action := range o.machine.Step(o.node.now(), ev) {
		o.carryOut(ctx, action)
	}
}

func (o *ownership) carryOut(ctx context.Context, action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Append:
		o.writer.add(a)
	case dispatch.Heartbeat:
		o.tasks.Go(func() { o.hold(ctx, a) })
	case dispatch.Start:
		o.tasks.Go(func() { o.start(ctx, a) })
	case dispatch.Stop:
		o.tasks.Go(func() { o.stop(ctx, a) })
	case dispatch.StepDown:
		o.node.events.Log(logevent.EpochFenced, zap.Int64("epoch", o.epoch), zap.String("worker", a.Worker))
		o.cancel()
	case dispatch.Decision:
		o.node.logDecision(o.epoch, a)
	}
}

func (o *ownership) hold(ctx context.Context, h dispatch.Heartbeat) {
	sent := o.node.now()
	call, cancel := context.WithTimeout(ctx, h.Wait+orderTimeout)
	report, answer := o.node.platform.Fleet.Hold(call, o.epoch, h)
	cancel()
	if answer != dispatch.Done {
		o.post(ctx, dispatch.HeartbeatFailed{Worker: h.Worker, Answer: answer})
		return
	}
	o.post(ctx, dispatch.HeartbeatAnswered{Worker: h.Worker, SentAt: sent, Report: report})
}

func (o *ownership) start(ctx context.Context, s dispatch.Start) {
	sent := o.node.now()
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	answer, clock := o.node.platform.Fleet.Start(call, o.epoch, s)
	cancel()
	o.node.meters.started(answer, o.node.now()-sent)
	o.post(ctx, dispatch.StartAnswered{Worker: s.Worker, Run: s.Run, Answer: answer, Clock: clock})
}

func (o *ownership) stop(ctx context.Context, s dispatch.Stop) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	answer := o.node.platform.Fleet.Stop(call, o.epoch, s)
	cancel()
	o.post(ctx, dispatch.StopAnswered{Worker: s.Worker, Run: s.Run, Answer: answer})
}
