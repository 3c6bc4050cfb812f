package coordinator

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/workload"
)

// Errors of requests of callers.
var (
	// ErrUnavailable means that the request had no effect.
	ErrUnavailable = errors.New("not accepted: the log is unavailable")
	// ErrOutcomeUnknown means that the request may have taken effect.
	ErrOutcomeUnknown = errors.New("outcome unknown: no response from the log")
	// ErrRejected means that the request had no effect, because the workers can't start the
	// submission while it is of use. The error is a *RejectedError.
	ErrRejected = errors.New("not accepted: the workers can't start it in time")
	// ErrIDInUse means that the request had no effect and never has one, because another submission
	// has the id: one of another queue or tenant, or with other content.
	ErrIDInUse = errors.New("not accepted: another submission has this id")
	// ErrNoSubmission means that no submission has the id.
	ErrNoSubmission = errors.New("no submission has this id")
)

// Submit makes a submission durable. It is idempotent: it returns nil also if
// the submission was already stored. If another submission has the id it returns
// ErrIDInUse. The deadline of ctx is the caller's.
func (n *Node) Submit(ctx context.Context, s *workload.Submission) error {
	began := n.monotonicNow()
	c := n.cellOf(s.ID)
	identity := ledger.IdentityOf(s)
	use := c.useOf(s.ID, identity)
	if use == usedByRepeat {
		n.logger.Log(logevent.SubmissionRepeated, zap.String("id", s.ID), zap.String("queue", s.Queue))
		return nil
	}
	err := ErrIDInUse
	if use != usedByOther {
		err = c.admit(ctx, s)
	}
	if err == nil {
		c.attempts.sent(s.ID, began)
		err = c.accept(s.ID, identity, c.intakeWriter.append(ctx, encodeSubmitted(s)))
	}
	n.metrics.observeSubmission(err, n.monotonicNow()-began)
	fields := []zap.Field{zap.String("id", s.ID), zap.String("queue", s.Queue), zap.Duration("duration", n.monotonicNow()-began)}
	switch {
	case errors.Is(err, ErrRejected):
		return err
	case errors.Is(err, ErrIDInUse):
		n.logger.Log(logevent.IDInUse, fields...)
		return err
	}
	if err != nil {
		n.logError(logevent.SubmissionRejected, err, fields...)
		return err
	}
	n.logger.Log(logevent.SubmissionAccepted, fields...)
	return nil
}

// Cancel cancels a submission. It returns nil if the cancellation is stored or
// the submission is already final, and ErrNoSubmission if there is no such
// submission. The cancellation is stored then, too: an append of the submission that has
// no answer yet may still be carried out.
func (n *Node) Cancel(ctx context.Context, id string) error { return n.CancelFor(ctx, Caller{}, id) }

// CancelFor does the same for a caller that may not see all submissions. For one that it may
// not see it returns ErrHidden, which is an ErrNoSubmission, and stores nothing. A cancellation of
// an id that has no submission holds for the caller's queue alone.
func (n *Node) CancelFor(ctx context.Context, caller Caller, id string) error {
	state, err := n.StateFor(ctx, caller, id)
	if err != nil && !errors.Is(err, ErrNoSubmission) || errors.Is(err, ErrHidden) {
		return err
	}
	if state.Final() {
		return nil
	}
	appendErr := n.cellOf(id).intakeWriter.append(ctx, encodeCancelled(id, caller.Queue))
	n.logger.Log(logevent.SubmissionCancelled, zap.String("id", id), zap.Error(appendErr))
	if appendErr != nil {
		return appendErr
	}
	return err
}

// State returns the state of a submission. A node that does not own the cell
// queries the owner, because its local copy is older. ErrNoSubmission is returned
// only if the intake, read to its end, has no such submission.
func (n *Node) State(ctx context.Context, id string) (workload.State, error) {
	return n.StateFor(ctx, Caller{}, id)
}

// StateFor does the same for a caller that may not see all submissions. For one that it may
// not see it returns ErrHidden, which is an ErrNoSubmission.
func (n *Node) StateFor(ctx context.Context, caller Caller, id string) (workload.State, error) {
	state, err := n.findState(ctx, caller, id)
	if errors.Is(err, ErrHidden) {
		n.ReportRefusedCall(caller.Queue, Hidden)
		return workload.Unknown, err
	}
	return state, err
}

// findState returns the state as this node or the cell's owner knows it. The owner tells it only
// if the caller may see the submission.
func (n *Node) findState(ctx context.Context, caller Caller, id string) (workload.State, error) {
	c := n.cellOf(id)
	if e := c.ledger().Find(id); e != nil && !caller.maySee(e.Tenant, e.Queue) {
		return workload.Unknown, ErrHidden
	}
	state := c.localState(id)
	if state.Final() {
		return state, nil
	}
	if c.owning.Load() {
		return c.shownState(ctx, caller, id)
	}
	ownerState, answered, hidden := n.lookUpState(ctx, c, caller, id)
	switch {
	case hidden:
		return workload.Unknown, ErrHidden
	case answered && ownerState != workload.Unknown:
		return ownerState, nil
	case answered && state == workload.Unknown:
		return state, ErrNoSubmission
	}
	if !answered && !n.isInReserve() {
		shown, err := c.shownState(ctx, caller, id)
		if err == nil || errors.Is(err, ErrNoSubmission) {
			return shown, err
		}
	}
	switch {
	case c.isHidden(caller, id):
		return workload.Unknown, ErrHidden
	case state == workload.Unknown:
		return state, ErrUnavailable
	}
	return state, nil
}

// shownState returns the verified state, or ErrHidden if the caller may not see the submission.
func (c *cell) shownState(ctx context.Context, caller Caller, id string) (workload.State, error) {
	state, err := c.verifiedState(ctx, id)
	if err == nil && c.isHidden(caller, id) {
		return workload.Unknown, ErrHidden
	}
	return state, err
}

// verifiedState returns the state from the local copy. It reads the intake to its
// end before it returns ErrNoSubmission.
func (c *cell) verifiedState(ctx context.Context, id string) (workload.State, error) {
	if state := c.localState(id); state != workload.Unknown && c.owning.Load() {
		return state, nil
	}
	if err := c.readIntakeToEnd(ctx); err != nil {
		return workload.Unknown, ErrUnavailable
	}
	state := c.localState(id)
	if state == workload.Unknown {
		return state, ErrNoSubmission
	}
	return state, nil
}

// QueueLength returns the number of submissions of a queue that are in state
// Queued, that is, of those without a placed run. It returns ErrUnavailable if the
// owner of a cell does not answer, or has not read the submissions of the last seconds.
func (n *Node) QueueLength(ctx context.Context, queue string) (int, error) {
	pending := 0
	for _, c := range n.cells {
		count, ok := n.pendingCount(ctx, c, queue)
		if !ok {
			return 0, ErrUnavailable
		}
		pending += count
	}
	return pending, nil
}

// localState returns the state of a submission from the local copy, or Unknown.
func (c *cell) localState(id string) workload.State {
	if e := c.ledger().Find(id); e != nil {
		return e.State()
	}
	if _, ok := c.recentlyAccepted.Load(id); ok {
		return workload.Queued
	}
	return workload.Unknown
}

// appendTimeLimit returns the time that an append and its retries may take.
func appendTimeLimit(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 3 * logTimeout
	}
	return time.Duration(appendTimeShare * float64(time.Until(deadline)))
}
