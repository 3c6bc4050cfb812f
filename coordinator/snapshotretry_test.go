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

// coverage returns the offsets up to which the newest snapshot of cell 0 covers the streams, and
// the ends of the streams.
func (l *fakeLog) coverage(is *is.I) (covered, ends ledger.Offsets) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends.Cell = int64(len(l.streams[coordinator.Stream{Topic: coordinator.CellTopic}]))
	ends.Intake = int64(len(l.streams[coordinator.Stream{Topic: "intake"}]))
	if l.snapshots[0] == nil {
		return covered, ends
	}
	parts, err := ledger.DecodeSnapshot(l.snapshots[0])
	is.NoErr(err)
	return ledger.Offsets{Cell: parts[0].CellNext, Intake: parts[0].IntakeNext}, ends
}

// Guards against records that expire before a snapshot has them, because one could not be saved
// and no record follows.
func TestFailedSnapshotIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		h.log.saveErr = errors.New("no answer")
		h.group.assignTo("a")
		a := h.startNode("a", nil)
		time.Sleep(2 * time.Second)
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("s")))
		time.Sleep(58 * time.Second)
		h.log.update(func() { h.log.saveErr = nil })
		time.Sleep(30 * time.Second)
		covered, ends := h.log.coverage(is)
		is.Equal(covered, ends)
	})
}

// Guards against records that a log with a short retention drops before a snapshot has them.
func TestSnapshotsFollowTheRetentionOfTheLog(t *testing.T) {
	for retention, interval := range map[time.Duration]time.Duration{0: 30 * time.Second, 5 * time.Minute: 30 * time.Second, 20 * time.Second: 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness()
			defer h.close()
			h.logRetention = retention
			h.group.assignTo("a")
			a := h.startNode("a", nil)
			time.Sleep(2 * time.Second)
			h.log.update(func() { h.log.forms = nil })
			is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("s")))
			time.Sleep(2*interval + 2*time.Second)
			covered, ends := h.log.coverage(is)
			is.Equal(covered, ends)
			h.log.update(func() { is.True(len(h.log.forms) <= 3) })
		})
	}
}
