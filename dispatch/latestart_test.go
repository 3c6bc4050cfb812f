package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a start that is carried out by the next incarnation of its worker after
// that one's first report: the run, given up before, would go on until its lease expires.
func TestWorkerThatMayReceiveALateStartIsAskedAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	run := h.submitUnanswered("s", plainStep)
	h.handle(dispatch.StartAnswered{Worker: "w", Run: run, Answer: dispatch.NoAnswer})
	h.handle(dispatch.EntryChanged{Entry: h.ledger.Apply(ledger.CancelledRecord("s"))})
	h.handle(dispatch.StopAnswered{Worker: "w", Run: run, Answer: dispatch.Done})
	h.advance(200 * time.Millisecond)
	h.report()
	is.Equal(len(h.machine.StoppingRuns()), 0)

	next := workload.Incarnation{Worker: "w", StartMillis: 2}
	report := func(active ...workload.ActiveRun) {
		h.handle(dispatch.HeartbeatAnswered{Worker: "w", SentAt: h.now, Report: workload.Report{Incarnation: next, Clock: h.now, Active: active}})
	}
	report()
	asked := 0
	for range 12 {
		h.actions = nil
		h.advance(time.Second)
		if h.count(isHeartbeat) > 0 {
			asked++
			report()
		}
	}
	is.True(asked >= 8 && asked <= 10)
}
