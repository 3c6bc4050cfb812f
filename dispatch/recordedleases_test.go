package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// recordsSole reports whether an appended record says that no previous owner can grant leases.
func (h *harness) recordsSole() bool {
	for _, r := range h.appendedRecords() {
		if r.Opened != nil && r.Opened.Sole {
			return true
		}
	}
	return false
}

// Guards against a successor that expects leases only as far as this owner granted them, while
// those of the owner before last longer, because this one could grant short ones only.
func TestPreviousOwnersAreNotForgottenWhileLeasesAreLimited(t *testing.T) {
	is := is.New(t)
	limit := longLease / 2
	h := limitedHarness(t, &limit)
	h.ledger.Apply(ledger.OpenedRecord(ledger.Owner{Epoch: 1, VM: "a", PeerAddress: "a"}))
	h.handle(dispatch.PredecessorResigned{Sole: true})
	h.advance(5 * time.Second)
	is.True(!h.recordsSole())
	limit = longLease
	h.advance(time.Second)
	is.True(h.recordsSole())
}

// Guards against a start that is sent with a lease which has become short while the placement
// was being recorded: the run would lapse.
func TestNoStartWhenTheLeaseIsShortOnceThePlacementIsRecorded(t *testing.T) {
	is := is.New(t)
	limit := longLease
	h := limitedHarness(t, &limit)
	h.logStalled = true
	h.submit("batch", plainStep)
	limit, h.logStalled = time.Second, false
	for _, a := range h.actions {
		if appended, ok := a.(dispatch.Append); ok {
			h.handle(dispatch.Appended{ID: appended.ID})
		}
	}
	is.Equal(h.count(startOf("batch")), 0)
	limit = longLease
	h.advance(time.Second)
	is.Equal(h.count(startOf("batch")), 1)
}

// Guards against a wait for leases that begins anew at a takeover although the owner before
// knew that they had expired: while the log stalled, it could not replace its record.
func TestExpiryOfLeasesIsRecordedOnceTheLogIsBack(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("lasting", plainStep)
	h.report()
	h.advance(100 * time.Millisecond)
	h.silence(2500 * time.Millisecond)
	is.True(h.isRecorded())
	h.actions, h.logStalled = nil, true
	h.advanceInSteps(2 * simLease)
	h.logStalled = false
	for _, a := range h.actions {
		if appended, ok := a.(dispatch.Append); ok {
			h.handle(dispatch.Appended{ID: appended.ID})
		}
	}
	h.takeOver(2)
	for _, left := range h.machine.Leases(h.now) {
		is.True(left.All < 500*time.Millisecond)
	}
}

// Guards against a task that is placed, or started, again while its end is being recorded: the
// run that ended was given up before its worker answered again.
func TestTaskIsNotPlacedWhileTheEndOfAnAbandonedRunIsRecorded(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("batch", plainStep)
	h.report()
	is.Equal(h.count(startOf("batch")), 1)
	for range 2 * simLease / (100 * time.Millisecond) {
		h.silence(100 * time.Millisecond)
	}
	is.True(h.count(func(a dispatch.Action) bool {
		d, ok := a.(dispatch.Decision)
		return ok && d.Kind == dispatch.RunLost
	}) > 0)
	h.actions, h.logStalled = nil, true
	clear(h.active)
	run := workload.RunID{Task: workload.TaskID{Submission: "batch"}, Run: 1}
	h.report(workload.EndedRun{RunID: run, Sequence: 1, Outcome: workload.Succeeded})
	for range 5 {
		h.listOther(4)
		h.advance(100 * time.Millisecond)
	}
	is.Equal(len(placedOf(h, "batch")), 0)
	h.logStalled = false
	for _, a := range h.actions {
		if appended, ok := a.(dispatch.Append); ok {
			h.handle(dispatch.Appended{ID: appended.ID})
		}
	}
	is.Equal(h.count(startOf("batch")), 0)
	is.Equal(h.ledger.Find("batch").State(), workload.Completed)
}

// placedOf returns the placements of a submission among the appended records.
func placedOf(h *harness, id string) (out []*ledgerpb.Placed) {
	for _, r := range h.appendedRecords() {
		if r.Placed != nil && r.Placed.Task.Submission == id {
			out = append(out, r.Placed)
		}
	}
	return out
}
