package writer

import "context"

// Submission is an item submitted to a Writer. It is safe for concurrent use.
type Submission struct {
	writer *Writer
	item   []byte
	done   chan struct{}

	// The fields below are guarded by writer.mu.
	batch  *batch
	result Result
	final  bool
}

// Done returns a channel that is closed when the result is final.
func (s *Submission) Done() <-chan struct{} {
	return s.done
}

// Result returns the present result and whether it is final.
func (s *Submission) Result() (Result, bool) {
	s.writer.mu.Lock()
	defer s.writer.mu.Unlock()
	return s.result, s.final
}

// Wait waits for the final result. If ctx ends first, it calls Withdraw and
// returns its result.
func (s *Submission) Wait(ctx context.Context) Result {
	select {
	case <-s.done:
	case <-ctx.Done():
		return s.Withdraw()
	}
	r, _ := s.Result()
	return r
}

// Withdraw cancels the submission if no append that contains the item can have
// reached the log; the result is then NotSent and final. Otherwise it returns
// the present result: Unknown, which may still become Accepted, or a final one.
func (s *Submission) Withdraw() Result {
	s.writer.mu.Lock()
	defer s.writer.mu.Unlock()
	if s.final {
		return s.result
	}
	if s.batch != nil && s.batch.mayReachLog() {
		return s.result
	}
	s.finish(Result{Outcome: NotSent})
	if s.batch != nil {
		s.batch.remove(s)
	} else {
		s.writer.countWithdrawal()
	}
	return s.result
}

// finish sets the final result, unless there is one. writer.mu must be held.
func (s *Submission) finish(r Result) {
	if s.final {
		return
	}
	s.result = r
	s.final = true
	close(s.done)
}
