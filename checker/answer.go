package checker

import "time"

// answerChecker checks I5: an answer that looks complete is the complete answer
// to the caller's own request.
type answerChecker struct{}

func newAnswerChecker() *answerChecker {
	return &answerChecker{}
}

func (c *answerChecker) observe(index int, e Event) []Violation {
	if e.Type != RequestAnswered || e.Result != Answered || !e.Complete {
		return nil
	}
	if e.Answer != e.Expected {
		return violated(AnswerIntegrity, index, e, "caller %s got a wrong or truncated answer to request %s", e.Caller, e.Request)
	}
	return nil
}

func (c *answerChecker) finish(int, time.Duration) []Violation { return nil }
