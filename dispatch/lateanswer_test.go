package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a run that is given up while its stop has no answer, because the answer
// to its start came after the stop was sent: the start may still be carried out.
func TestLateAnswerToAStartDoesNotConfirmTheStop(t *testing.T) {
	for _, answer := range []dispatch.Answer{dispatch.NoAnswer, dispatch.Done} {
		t.Run(answer.String(), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.report()
			run := h.submitUnanswered("s", plainStep)
			h.handle(dispatch.EntryChanged{Entry: h.ledger.Apply(ledger.CancelledRecord("s"))})
			is.Equal(h.count(stopOf("s")), 1)
			h.handle(dispatch.StartAnswered{Worker: "w", Run: run, Answer: answer, Clock: h.now})
			h.advance(200 * time.Millisecond)
			h.report()
			is.Equal(h.machine.StoppingRuns(), []workload.RunID{run})
			h.handle(dispatch.StopAnswered{Worker: "w", Run: run, Answer: dispatch.NoAnswer})
			h.advance(20 * time.Millisecond)
			is.Equal(h.count(stopOf("s")), 2)
		})
	}
}
