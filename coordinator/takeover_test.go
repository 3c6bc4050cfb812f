package coordinator_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a takeover that starts a task again which runs or is done.
func TestTakeoverStartsNothingTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite()
		defer s.close()
		s.group.give("a")
		a := s.node("a", nil)
		s.node("b", nil)
		time.Sleep(2 * time.Second)
		is.NoErr(a.Submit(within(3*time.Second), submission("s")))
		time.Sleep(300 * time.Millisecond)
		for _, vm := range []string{"b", "a", "b"} {
			s.group.give(vm)
			time.Sleep(400 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		state, err := a.State(within(time.Second), "s")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
		for _, starts := range s.fleet.starts {
			is.Equal(starts, 1)
		}
	})
}

// Guards against a successor that reads the intake only as far as a read shows
// it: what the former owner recorded of newer submissions would be lost, and
// their tasks would run again.
func TestTakeoverReadsTheWholeIntake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite()
		defer s.close()
		s.group.give("a")
		a := s.node("a", nil)
		time.Sleep(2 * time.Second)
		is.NoErr(a.Submit(within(3*time.Second), submission("s")))
		time.Sleep(2 * time.Second)
		s.log.set(func() { s.log.behind = 1 })
		b := s.node("b", nil)
		s.group.give("b")
		time.Sleep(2 * time.Second)
		s.log.set(func() { s.log.behind = 0 })
		time.Sleep(5 * time.Second)
		state, err := b.State(within(time.Second), "s")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
		for _, starts := range s.fleet.starts {
			is.Equal(starts, 1)
		}
	})
}

// Guards against a successor that knows nothing of what the log has dropped:
// a final state, a task that is done, a run that goes on.
func TestTakeoverFromASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite()
		defer s.close()
		s.group.give("a")
		a := s.node("a", nil)
		time.Sleep(2 * time.Second)
		is.NoErr(a.Submit(within(3*time.Second), submission("old")))
		long := submission("long")
		long.Steps[0].LongRunning = true
		s.fleet.set(func() { s.fleet.lasting = "long" })
		is.NoErr(a.Submit(within(3*time.Second), long))
		time.Sleep(35 * time.Second)
		s.log.set(func() { s.log.first = int64(len(s.log.streams[coordinator.Stream{Topic: "intake"}])) })
		b := s.node("b", nil)
		s.group.give("b")
		time.Sleep(5 * time.Second)
		state, err := b.State(within(time.Second), "old")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
		state, err = b.State(within(time.Second), "long")
		is.NoErr(err)
		is.Equal(state, workload.Running)
		for _, starts := range s.fleet.starts {
			is.Equal(starts, 1)
		}
	})
}

// Guards against a node that the store turns away and that goes on trying to
// open a cell which another node may have by then.
func TestNoOpeningWithoutAFreshAssignment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite()
		defer s.close()
		lost := false
		s.group.give("a")
		a := s.node("a", &lost)
		time.Sleep(2 * time.Second)
		s.group.set(func() { lost = true })
		s.log.set(func() { s.log.epochs[coordinator.Stream{Topic: coordinator.CellTopic}] = 1000 })
		is.NoErr(a.Submit(within(3*time.Second), submission("s")))
		time.Sleep(3 * time.Second)
		s.log.set(func() { s.log.opens = 0 })
		time.Sleep(4 * time.Second)
		s.log.mu.Lock()
		is.Equal(s.log.opens, 0)
		s.log.mu.Unlock()
	})
}

// Guards against a node that answers a caller from the streams while the intake
// is read only in part, and later owns the cell with what it has lost then.
func TestReaderKeepsRecordsOfUnseenSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite()
		defer s.close()
		s.group.give("a")
		a, b := s.node("a", nil), s.node("b", nil)
		time.Sleep(2 * time.Second)
		is.NoErr(a.Submit(within(3*time.Second), submission("s")))
		time.Sleep(3 * time.Second)
		s.log.set(func() { s.log.behind = 1 })
		_, err := b.State(within(2*time.Second), "s")
		is.True(errors.Is(err, coordinator.ErrUnavailable))
		s.log.set(func() { s.log.behind = 0 })
		s.group.give("b")
		time.Sleep(5 * time.Second)
		state, err := b.State(within(time.Second), "s")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
		for _, starts := range s.fleet.starts {
			is.Equal(starts, 1)
		}
	})
}
