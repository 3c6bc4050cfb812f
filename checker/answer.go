package checker

import "time"

// answerJudge holds I5: an answer that looks whole is the whole answer to the
// caller's own request.
type answerJudge struct{}

func newAnswerJudge() *answerJudge {
	return &answerJudge{}
}

func (j *answerJudge) observe(index int, e Event) []Violation {
	if e.Type != RequestAnswered || e.Result != Answered || !e.Complete {
		return nil
	}
	if e.Answer != e.Expected {
		return breach(AnswerIntegrity, index, e, "caller %s got another or a shortened answer to request %s", e.Caller, e.Request)
	}
	return nil
}

func (j *answerJudge) finish(int, time.Duration) []Violation { return nil }
