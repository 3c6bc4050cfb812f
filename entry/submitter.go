package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/writer"
)

// submitter writes operations from operators to the log and waits for their
// outcomes. It implements operator.Submitter.
type submitter struct {
	feed *resourceFeed
	// wait is the maximum time until the record has been read back.
	wait time.Duration
}

// Submit returns the outcome once the operation's record has been read back.
// An operation whose id already has an outcome gets that outcome.
func (s *submitter) Submit(ctx context.Context, op resources.Operation) (resources.Outcome, error) {
	outcome, err := s.submit(ctx, op)
	s.logOutcome(op, outcome, err)
	return outcome, err
}

func (s *submitter) logOutcome(op resources.Operation, outcome resources.Outcome, err error) {
	fields := []zap.Field{zap.String("operation", op.ID), zap.String("verb", string(op.Verb)), zap.String("kind", string(op.Kind)), zap.String("resource", op.Name)}
	switch {
	case result.CodeOf(err, result.WriteOutcomeUnknown) == result.WriteOutcomeUnknown:
		s.feed.events.Log(logevent.OperationUnknown, fields...)
	case err != nil:
		s.feed.events.Log(logevent.OperationRefused, append(fields, zap.Error(err))...)
	case outcome.Code != result.OK:
		s.feed.events.Log(logevent.OperationRefused, append(fields, zap.Int("code", int(outcome.Code)), zap.String("reason", outcome.Message))...)
	default:
		s.feed.events.Log(logevent.OperationAccepted, append(fields, zap.Int64("version", int64(outcome.Version)))...)
	}
}

func (s *submitter) submit(ctx context.Context, op resources.Operation) (resources.Outcome, error) {
	if outcome, ok := s.feed.duplicate(op); ok {
		return outcome, nil
	}
	if err := checkQuota(s.feed.store.View(), op); err != nil {
		return resources.Outcome{}, err
	}
	data, err := record.Encode(encodeOperation(op))
	if err != nil {
		return resources.Outcome{}, result.Errorf(result.TooLarge, "operation: %w", err)
	}
	applied, cancel := s.feed.outcomes.await(op.ID)
	defer cancel()
	submission, err := s.feed.writer.Submit(data)
	if err != nil {
		return resources.Outcome{}, result.Errorf(result.NotRunLogUnavailable, "log writer: %w", err)
	}
	ctx, stop := context.WithTimeout(ctx, s.wait)
	defer stop()
	unsent := time.NewTimer(min(maxUnsentWait, s.wait))
	defer unsent.Stop()
	for {
		select {
		case outcome := <-applied:
			return outcome, nil
		case <-unsent.C:
			if submission.Withdraw().Outcome != writer.NotSent {
				continue
			}
		case <-submission.Done():
		case <-ctx.Done():
		}
		return s.outcomeAfterWait(op.ID, submission, applied)
	}
}

// maxUnsentWait is the time after which an operation that has not been sent to the
// log is withdrawn. An outage of the log is thus reported after this time, not
// after the longer wait that is allowed for reading a sent record back.
const maxUnsentWait = time.Second

// outcomeAfterWait returns the result for an operation whose wait ended without an
// outcome: an outcome that has arrived meanwhile, not sent, or unknown.
func (s *submitter) outcomeAfterWait(id string, submission *writer.Submission, applied <-chan resources.Outcome) (resources.Outcome, error) {
	last := submission.Withdraw()
	if outcome, ok := s.feed.outcome(id); ok {
		return outcome, nil
	}
	select {
	case outcome := <-applied:
		return outcome, nil
	default:
	}
	if last.Outcome == writer.NotSent {
		return resources.Outcome{}, result.Errorf(result.NotRunLogUnavailable, "the log can't be reached and nothing was sent to it")
	}
	return resources.Outcome{}, result.Errorf(result.WriteOutcomeUnknown, "the record was not read back in time; retry with operation id %s", id)
}
