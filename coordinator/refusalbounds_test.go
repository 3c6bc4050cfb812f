package coordinator_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/ledger"
)

// takeoverWithoutSnapshot starts a cell with a submission whose records the log has dropped, and a node
// that is to take it over while snapshots can't be loaded.
func takeoverWithoutSnapshot(is *is.I, h *harness) *coordinator.Node {
	h.group.assignTo("a")
	a := h.startNode("a", nil)
	time.Sleep(2 * time.Second)
	is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("old")))
	time.Sleep(35 * time.Second)
	h.log.update(func() {
		h.log.logStart = int64(len(h.log.streams[intake]))
		h.log.loadErr = errors.New("429")
	})
	return h.startNode("b", nil)
}

// timeToTakeover returns how long it takes until a second epoch is opened.
func timeToTakeover(events *eventLog) time.Duration {
	began := time.Now()
	for events.count(`"EpochOpened"`) < 2 && time.Since(began) < 10*time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// Guards against a cell that has no owner for much longer than the store returns no snapshots.
func TestTakeoverGoesOnSoonAfterSnapshotsCanBeLoadedAgain(t *testing.T) {
	for name, hangs := range map[string]bool{"rejected": false, "slow": true} {
		for _, away := range []time.Duration{time.Second, 10 * time.Second, 16 * time.Second, 47 * time.Second} {
			t.Run(name+" "+away.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					h := newHarness()
					defer h.close()
					events := h.withLog()
					takeoverWithoutSnapshot(is, h)
					h.log.update(func() { h.log.loadHangs = hangs })
					h.group.assignTo("b")
					time.Sleep(away)
					is.Equal(events.count(`"EpochOpened"`), 1)
					h.log.update(func() { h.log.loadErr = nil })
					after := timeToTakeover(events)
					t.Logf("no owner for %v, %d refusals", away+after, events.count(`"CellRefused"`))
					is.True(after <= 5*time.Second)
				})
			})
		}
	}
}

// Guards against a node that refuses a cell at the first failed load because its reads for callers
// failed long before.
func TestFailedLoadsOfLongAgoAreNoReasonToRefuse(t *testing.T) {
	for name, reads := range map[string]int{"none": 0, "three": 3} {
		t.Run(name, func(t *testing.T) { takeOverAfterReads(t, reads) })
	}
}

func takeOverAfterReads(t *testing.T, reads int) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		events := h.withLog()
		b := takeoverWithoutSnapshot(is, h)
		h.group.assignTo("nobody")
		time.Sleep(3 * time.Second)
		for range reads {
			_, err := b.State(timeoutContext(time.Second), "unknown")
			is.True(err != nil)
			time.Sleep(3 * time.Second)
		}
		time.Sleep(time.Hour)
		h.log.update(func() { h.log.loadFailures = 1 })
		h.group.assignTo("b")
		after := timeToTakeover(events)
		t.Logf("no owner for %v, %d refusals", after, events.count(`"CellRefused"`))
		is.True(after <= 5*time.Second)
	})
}

// Guards against a cell that is refused for good because of an incomplete snapshot of an ended writer
// that covers less than the complete one.
func TestIncompleteSnapshotThatCoversLessIsNoReasonToRefuse(t *testing.T) {
	for name, left := range map[string]bool{"none": false, "incomplete": true} {
		t.Run(name, func(t *testing.T) { takeOverBeside(t, left) })
	}
}

func takeOverBeside(t *testing.T, left bool) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		events := h.withLog()
		h.group.assignTo("a")
		a := h.startNode("a", nil)
		time.Sleep(2 * time.Second)
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("old")))
		time.Sleep(35 * time.Second)
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("new")))
		time.Sleep(5 * time.Second)
		h.log.update(func() {
			parts, err := ledger.DecodeSnapshot(h.log.snapshots[0])
			is.NoErr(err)
			parts[0].Parts, parts[0].CellNext, parts[0].IntakeNext = 2, 1, 0
			leftover, err := ledger.EncodeSnapshot(parts)
			is.NoErr(err)
			if left {
				h.log.leftover = leftover
			}
			h.log.logStart = int64(len(h.log.streams[intake]))
		})
		h.startNode("b", nil)
		h.group.assignTo("b")
		time.Sleep(20 * time.Minute)
		t.Logf("%d refusals", events.count(`"CellRefused"`))
		is.True(events.count(`"EpochOpened"`) >= 2)
	})
}

// Guards against a cell that no node ever owns again because its snapshot takes longer to load than the
// time-out of the first attempt.
func TestSnapshotThatTakesLongToLoadIsReadInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		events := h.withLog()
		takeoverWithoutSnapshot(is, h)
		h.log.update(func() { h.log.loadErr, h.log.loadTime = nil, 2500*time.Millisecond })
		h.group.assignTo("b")
		after := timeToTakeover(events)
		t.Logf("no owner for %v, %d refusals", after, events.count(`"CellRefused"`))
		is.True(after <= 30*time.Second)
	})
}
