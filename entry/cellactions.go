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
		r.command(a.Worker, func(ctx context.Context, agent hostapi.WorkerAgent) { r.fence(ctx, agent, a.Term) })
	case tasks.Observe:
		r.command(a.Worker, r.observe)
	case tasks.Start:
		r.command(a.Worker, func(ctx context.Context, agent hostapi.WorkerAgent) { r.start(ctx, agent, a) })
	case tasks.Renew:
		r.command(a.Worker, func(ctx context.Context, agent hostapi.WorkerAgent) {
			r.report(a.Worker, agent.Renew(ctx, a.Command, a.Renewals))
		})
	case tasks.Checkpoint:
		r.command(a.Worker, func(ctx context.Context, agent hostapi.WorkerAgent) { r.takeCheckpoint(ctx, agent, a) })
	case tasks.Stop:
		r.command(a.Worker, func(ctx context.Context, agent hostapi.WorkerAgent) { r.stopAttempt(ctx, agent, a) })
	case tasks.Forget:
		r.command(a.Worker, func(ctx context.Context, agent hostapi.WorkerAgent) {
			r.report(a.Worker, agent.Forget(ctx, a.Command, a.ID))
		})
	case tasks.OfferMove:
		go r.host.offerMove(r.ctx, a)
	case tasks.ConfirmMove:
		go r.host.confirmMove(r.ctx, a)
	case tasks.SnapshotDue:
		r.appendSnapshot()
	}
}

// command runs a call to a worker's agent in its own goroutine. When too many
// calls are in flight it is dropped: the machine repeats what gets no answer.
func (r *cellRunner) command(worker string, call func(context.Context, hostapi.WorkerAgent)) {
	agent, ok := r.host.workerAgent(worker)
	if !ok {
		return
	}
	select {
	case r.commands <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-r.commands }()
		ctx, cancel := context.WithTimeout(r.ctx, r.host.workerTimeout())
		defer cancel()
		call(ctx, agent)
	}()
}

func (r *cellRunner) observe(ctx context.Context, agent hostapi.WorkerAgent) {
	r.ask(func() (hostapi.WorkerState, error) { return agent.Observe(ctx) })
}

func (r *cellRunner) fence(ctx context.Context, agent hostapi.WorkerAgent, term int64) {
	r.ask(func() (hostapi.WorkerState, error) { return agent.Fence(ctx, term) })
}

// ask puts a question to a worker that is answered with its state. Without an
// answer nothing is sent to the machine, which repeats the question.
func (r *cellRunner) ask(question func() (hostapi.WorkerState, error)) {
	sentAt := r.clock()
	state, err := question()
	if err != nil {
		return
	}
	r.send(cellMessage{answer: &workerAnswer{sentAt: sentAt, observed: observed{state: state, receivedAt: r.clock()}}})
}

// handleAnswer takes a worker's state in, and its usage reports once each.
func (r *cellRunner) handleAnswer(a *workerAnswer) {
	r.observations[a.observed.state.Worker] = &a.observed
	r.step(tasks.Observed{SentAt: a.sentAt, State: a.observed.state})
	r.noteUsage(&a.observed)
	r.checkCapacity(a.observed.state)
}

func (r *cellRunner) start(ctx context.Context, agent hostapi.WorkerAgent, a tasks.Start) {
	err := agent.Start(ctx, a.Start)
	if err != nil && !refused(err) {
		return
	}
	if err != nil {
		r.report(a.Worker, err)
	}
	r.event(tasks.StartAnswered{Worker: a.Worker, ID: a.Start.ID, Refused: err != nil})
}

func (r *cellRunner) takeCheckpoint(ctx context.Context, agent hostapi.WorkerAgent, a tasks.Checkpoint) {
	name, err := agent.Checkpoint(ctx, a.Command, a.ID)
	if err != nil && !refused(err) {
		return
	}
	r.event(tasks.CheckpointAnswered{ID: a.ID, Name: name})
}

func (r *cellRunner) stopAttempt(ctx context.Context, agent hostapi.WorkerAgent, a tasks.Stop) {
	report, err := agent.Stop(ctx, a.Command, a.ID)
	if err != nil {
		r.report(a.Worker, err)
		return
	}
	r.event(tasks.StopAnswered{Worker: a.Worker, Boot: a.Command.Boot, Report: report})
}

// report logs a worker's refusal. A failure to reach the worker is not logged
// for each command: the observations show it.
func (r *cellRunner) report(worker string, err error) {
	if err == nil || !refused(err) {
		return
	}
	r.log.Log(logevent.StartRejected, zap.String("worker", worker), zap.String("reason", err.Error()))
}

// refused reports whether the worker answered that a command had no effect.
func refused(err error) bool {
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
