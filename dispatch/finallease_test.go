package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
)

// cancelRunning returns a harness whose worker runs a task of a cancelled submission.
func cancelRunning(t *testing.T) *harness {
	h := newHarness(t)
	h.report()
	h.submit("s", plainStep)
	h.report()
	h.advance(100 * time.Millisecond)
	h.report()
	h.handle(dispatch.EntryChanged{Entry: h.ledger.Apply(ledger.CancelledRecord("s"))})
	return h
}

// Guards against a run of a cancelled submission whose stops are not carried out, and whose
// lease is renewed all the same, also at a planned end of the ownership.
func TestLeaseIsNotRenewedForCancelledRuns(t *testing.T) {
	is := is.New(t)
	h := cancelRunning(t)
	h.actions = nil
	for range 5 {
		h.advance(200 * time.Millisecond)
		h.report()
	}
	is.True(h.count(isHeartbeat) > 0)
	is.Equal(h.count(grants), 0)
	is.Equal(len(h.machine.HandOver(h.now, 2*simLease)), 0)
}
