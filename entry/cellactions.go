package entry

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/tasks"
)

// execute carries out an action of the task machine.
func (r *cellRunner) execute(action tasks.Action) {
	switch a := action.(type) {
	case tasks.Append:
		r.appendRecord(a.Record)
	case tasks.Fence:
		r.sendCommand(a.Worker, func(ctx context.Context, agent hostapi.WorkerAgent) { r.fenceWorker(ctx, agent, a.Term) })
	case tasks.Observe:
		r.sendCommand(a.Worker, r.observeWorker)
	case tasks.Start:
		r.sendCommand(a.Worker, func(ctx context.Context, agent hostapi.WorkerAgent) { r.startAttempt(ctx, agent, a) })
	case tasks.Renew:
		r.sendCommand(a.Worker, func(ctx context.Context, agent hostapi.WorkerAgent) {
			r.logRefusal(a.Worker, "renew", hostapi.AttemptID{}, agent.Renew(ctx, a.Command, a.Renewals))
		})
	case tasks.Checkpoint:
		r.sendCommand(a.Worker, func(ctx context.Context, agent hostapi.WorkerAgent) { r.checkpointAttempt(ctx, agent, a) })
	case tasks.Stop:
		r.sendCommand(a.Worker, func(ctx context.Context, agent hostapi.WorkerAgent) { r.stopAttempt(ctx, agent, a) })
	case tasks.Forget:
		r.sendCommand(a.Worker, func(ctx context.Context, agent hostapi.WorkerAgent) {
			r.logRefusal(a.Worker, "forget", a.ID, agent.Forget(ctx, a.Command, a.ID))
		})
	case tasks.OfferMove:
		go r.host.offerMove(r.ctx, a)
	case tasks.ConfirmMove:
		go r.host.confirmMove(r.ctx, a)
	case tasks.SnapshotDue:
		r.appendSnapshot()
	}
}

// sendCommand runs a call to a worker's agent in its own goroutine. It drops
// the call when too many are in flight: the machine retries what is not
// answered.
func (r *cellRunner) sendCommand(worker string, call func(context.Context, hostapi.WorkerAgent)) {
	agent, ok := r.host.workerAgent(worker)
	if !ok {
		return
	}
	select {
	case r.commandSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-r.commandSlots }()
		ctx, cancel := context.WithTimeout(r.ctx, r.host.workerTimeout())
		defer cancel()
		call(ctx, agent)
	}()
}

func (r *cellRunner) observeWorker(ctx context.Context, agent hostapi.WorkerAgent) {
	r.requestState(func() (hostapi.WorkerState, error) { return agent.Observe(ctx) })
}

func (r *cellRunner) fenceWorker(ctx context.Context, agent hostapi.WorkerAgent, term int64) {
	r.requestState(func() (hostapi.WorkerState, error) { return agent.Fence(ctx, term) })
}

// requestState makes a call that a worker answers with its state. A failed call
// sends nothing to the machine, which repeats the request.
func (r *cellRunner) requestState(call func() (hostapi.WorkerState, error)) {
	sentAt := r.clock()
	state, err := call()
	if err != nil {
		return
	}
	r.send(cellMessage{answer: &workerAnswer{sentAt: sentAt, observation: workerObservation{state: state, receivedAt: r.clock()}}})
}

// handleAnswer passes a worker's state to the machine and its usage reports to
// the policy, each report once.
func (r *cellRunner) handleAnswer(a *workerAnswer) {
	r.observations[a.observation.state.Worker] = &a.observation
	r.step(tasks.Observed{SentAt: a.sentAt, State: a.observation.state})
	r.observeUsage(&a.observation)
	r.checkCapacity(a.observation.state)
}

func (r *cellRunner) startAttempt(ctx context.Context, agent hostapi.WorkerAgent, a tasks.Start) {
	err := agent.Start(ctx, a.Start)
	if err != nil && !isRefusal(err) {
		return
	}
	if err != nil {
		r.log.Log(logevent.StartRejected, zap.String("task", a.Start.ID.Task), zap.Int64("attempt", a.Start.ID.Attempt),
			zap.String("worker", a.Worker), zap.String("reason", err.Error()))
	}
	r.sendEvent(tasks.StartAnswered{Worker: a.Worker, ID: a.Start.ID, Refused: err != nil})
}

func (r *cellRunner) checkpointAttempt(ctx context.Context, agent hostapi.WorkerAgent, a tasks.Checkpoint) {
	name, err := agent.Checkpoint(ctx, a.Command, a.ID)
	if err != nil && !isRefusal(err) {
		return
	}
	r.sendEvent(tasks.CheckpointAnswered{ID: a.ID, Name: name})
}

func (r *cellRunner) stopAttempt(ctx context.Context, agent hostapi.WorkerAgent, a tasks.Stop) {
	report, err := agent.Stop(ctx, a.Command, a.ID)
	if err != nil {
		r.logRefusal(a.Worker, "stop", a.ID, err)
		return
	}
	r.sendEvent(tasks.StopAnswered{Worker: a.Worker, Boot: a.Command.Boot, Report: report})
}

// logRefusal logs that a worker refused a command other than a start. Failures to reach the
// worker are not logged per command, because observations report them.
func (r *cellRunner) logRefusal(worker, command string, id hostapi.AttemptID, err error) {
	if err == nil || !isRefusal(err) {
		return
	}
	r.log.Log(logevent.CommandRejected, zap.String("command", command), zap.String("task", id.Task), zap.Int64("attempt", id.Attempt),
		zap.String("worker", worker), zap.String("reason", err.Error()))
}

// isRefusal reports whether the worker answered that a command had no effect.
func isRefusal(err error) bool {
	for _, known := range []error{
		hostapi.ErrLowerTerm, hostapi.ErrDeadlinePassed, hostapi.ErrOtherBoot,
		hostapi.ErrNoRoom, hostapi.ErrNoAttempt, hostapi.ErrOldAttempt,
	} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}
