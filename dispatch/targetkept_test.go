package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a worker that is closed to best-effort runs without a bound, because a task there
// that was over its target once stays just within it since.
func TestTaskJustWithinItsTargetDoesNotCloseItsWorkerForGood(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(t)
	h.learnHarmless("report")
	h.reportTails(over)
	for range 150 {
		h.reportTails(barely)
	}
	h.submit("next", reportStep)
	h.reportTails(barely, barely, barely)
	h.advance(30 * time.Second)
	h.reportTails(barely, barely, barely)
	is.Equal(h.count(startOf("next")), 1)
}
