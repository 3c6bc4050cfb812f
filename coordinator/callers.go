package coordinator

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/workload"
)

// Errors of calls.
var (
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("not accepted: the log does not answer")
	// ErrOutcomeUnknown means that the call may have had its effect.
	ErrOutcomeUnknown = errors.New("outcome unknown: the log's answer was lost")
	// ErrNoSubmission means that no submission has the id.
	ErrNoSubmission = errors.New("no submission has this id")
)

// Submit makes a submission durable. It returns nil if the submission is
// stored, also if it was before. The deadline of ctx is the caller's.
func (n *Node) Submit(ctx context.Context, s *workload.Submission) error {
	began := n.now()
	c := n.cellOf(s.ID)
	if c.knows(s.ID) {
		n.events.Log(logevent.SubmissionRepeated, zap.String("id", s.ID), zap.String("queue", s.Queue))
		return nil
	}
	err := c.appendIntake(ctx, submittedData(s))
	if err == nil {
		c.recent.Store(s.ID, n.now())
	}
	n.meters.submitted(err, n.now()-began)
	fields := []zap.Field{zap.String("id", s.ID), zap.String("queue", s.Queue), zap.Duration("duration", n.now()-began)}
	if err != nil {
		n.logError(logevent.SubmissionRejected, err, fields...)
		return err
	}
	n.events.Log(logevent.SubmissionAccepted, fields...)
	return nil
}

// Cancel cancels a submission. It returns nil if that is stored, and
// ErrNoSubmission if there is no such submission.
func (n *Node) Cancel(ctx context.Context, id string) error {
	state, err := n.State(ctx, id)
	if err != nil {
		return err
	}
	if state.Final() {
		return nil
	}
	err = n.cellOf(id).appendIntake(ctx, cancelledData(id))
	n.events.Log(logevent.SubmissionCancelled, zap.String("id", id), zap.Error(err))
	return err
}

// State returns the state of a submission. A node that does not own the cell
// asks the owner, because its own copy is older. It returns ErrNoSubmission
// only if the log, read to its end, has no such submission.
func (n *Node) State(ctx context.Context, id string) (workload.State, error) {
	c := n.cellOf(id)
	state := c.state(id)
	if state.Final() {
		return state, nil
	}
	if c.owning.Load() {
		return c.verified(ctx, id)
	}
	told, answered := n.askOwner(ctx, c, id)
	switch {
	case answered && told != workload.Unknown:
		return told, nil
	case answered && state == workload.Unknown:
		return state, ErrNoSubmission
	case answered:
		return state, nil
	}
	if !n.config.Reserve {
		verified, err := c.verified(ctx, id)
		if err == nil || errors.Is(err, ErrNoSubmission) {
			return verified, err
		}
	}
	if state == workload.Unknown {
		return state, ErrUnavailable
	}
	return state, nil
}

// verified returns the state from this node's copy. It reads the log to its
// end before it says that there is no such submission.
func (c *cell) verified(ctx context.Context, id string) (workload.State, error) {
	if state := c.state(id); state != workload.Unknown && c.owning.Load() {
		return state, nil
	}
	if err := c.readIntake(ctx); err != nil {
		return workload.Unknown, ErrUnavailable
	}
	state := c.state(id)
	if state == workload.Unknown {
		return state, ErrNoSubmission
	}
	return state, nil
}

// QueueLength counts the submissions of a queue that have not begun. It
// returns ErrUnavailable if the owner of a cell does not answer.
func (n *Node) QueueLength(ctx context.Context, queue string) (int, error) {
	pending := 0
	for _, c := range n.cells {
		count, ok := n.pendingOf(ctx, c, queue)
		if !ok {
			return 0, ErrUnavailable
		}
		pending += count
	}
	return pending, nil
}

// knows tells whether the submission is stored, as far as this node has read.
func (c *cell) knows(id string) bool { return c.state(id) != workload.Unknown }

// state returns the state of a submission from this node's copy.
func (c *cell) state(id string) workload.State {
	if e := c.book.Find(id); e != nil {
		return e.State()
	}
	if _, ok := c.recent.Load(id); ok {
		return workload.Queued
	}
	return workload.Unknown
}

// appendIntake appends a record to the intake. It repeats the append while
// the caller's time lasts: a repeated record changes nothing.
func (c *cell) appendIntake(ctx context.Context, data []byte) error {
	unknown := false
	limit := intakeLimit(ctx)
	for attempt := 1; ; attempt++ {
		call, cancel := context.WithTimeout(ctx, min(logTimeout, max(limit, time.Millisecond)))
		began := c.node.now()
		end, err := c.node.platform.Log.Append(call, c.intake(), [][]byte{data}, nil)
		cancel()
		c.node.meters.logCall(err)
		if err == nil {
			c.node.storeAnswered()
			c.notifyOwner(notice{offset: end - 1, record: data})
			return nil
		}
		unknown = unknown || !errors.Is(err, ErrNotDone)
		limit -= c.node.now() - began + retryPause(attempt)
		if limit <= 0 || !pause(ctx, retryPause(attempt)) {
			break
		}
	}
	if unknown {
		return ErrOutcomeUnknown
	}
	return ErrUnavailable
}

// intakeLimit returns the time that repeats of an append may take.
func intakeLimit(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 3 * logTimeout
	}
	return time.Duration(appendShare * float64(time.Until(deadline)))
}
