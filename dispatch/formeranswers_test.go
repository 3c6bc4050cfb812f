package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against leases that last longer than their owner counts, because the answer of a former
// incarnation to a start sets the clock by which it grants them to the next one.
func TestAnswerOfAFormerIncarnationSetsNoClock(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.reportOnEndedConnection()
	run := h.submitUnanswered("s", plainStep)
	former := h.now
	h.advance(400 * time.Millisecond)
	h.listRestarted()
	h.reportOfRestarted(time.Second)
	h.handle(dispatch.StartAnswered{Worker: "w", Run: run, Answer: dispatch.Done, Clock: former})
	h.actions = nil
	h.submit("other", plainStep)
	for range 5 {
		h.advance(100 * time.Millisecond)
	}
	granted := 0
	for _, a := range h.actions {
		var deadline time.Duration
		switch a := a.(type) {
		case dispatch.Start:
			deadline = a.Deadline
		case dispatch.Heartbeat:
			deadline = a.Deadline
		}
		if deadline > 0 {
			granted++
			is.True(deadline <= 2*time.Second+simLease)
		}
	}
	is.True(granted > 0)
}

// Guards against a run that is given up before the incarnation that may start it has refused it,
// because the former one has confirmed its stop.
func TestAnswerOfAFormerIncarnationConfirmsNoStop(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.reportOnEndedConnection()
	run := h.submitUnanswered("s", plainStep)
	h.cancel("s")
	h.listRestarted()
	is.Equal(h.count(stopOf("s")), 2) // at the first and at the second incarnation
	h.handle(dispatch.StopAnswered{
		Worker: "w", Incarnation: workload.Incarnation{Worker: "w", StartMillis: 1}, Run: run, Answer: dispatch.Done,
	})
	h.advance(200 * time.Millisecond)
	h.reportOfRestarted(time.Second)
	is.Equal(h.machine.StoppingRuns(), []workload.RunID{run})
	h.handle(dispatch.StopAnswered{
		Worker: "w", Incarnation: workload.Incarnation{Worker: "w", StartMillis: 2}, Run: run, Answer: dispatch.Done,
	})
	h.advance(200 * time.Millisecond)
	h.reportOfRestarted(time.Second)
	is.Equal(len(h.machine.StoppingRuns()), 0)
}
