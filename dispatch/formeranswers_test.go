package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
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
