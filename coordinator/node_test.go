package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// site is a log, a group and a worker that nodes share, in virtual time.
type site struct {
	log   *fakeLog
	group *fakeGroup
	fleet *fakeFleet
	stop  []func()
}

func newSite() *site {
	return &site{log: newFakeLog(), group: &fakeGroup{}, fleet: newFakeFleet()}
}

func (s *site) node(vm string, lost *bool) *coordinator.Node {
	return s.run(vm, lost, false)
}

func (s *site) reserve(vm string) *coordinator.Node { return s.run(vm, nil, true) }

func (s *site) run(vm string, lost *bool, reserve bool) *coordinator.Node {
	n := coordinator.NewNode(coordinator.Config{
		VM: vm, Cells: max(1, s.group.cells), Reserve: reserve, Dispatch: dispatch.Config{Lease: 5 * time.Second, HeartbeatWait: time.Second, RemoteFactor: 2},
	}, coordinator.Platform{
		Log: s.log, Register: s.log, Snapshots: s.log, Group: member{s.group, vm, lost}, Fleet: s.fleet, Directory: s.fleet, Declarations: fakeDeclarations{},
	}, nil, coordinator.NewMeters())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		n.Run(ctx)
		close(done)
	}()
	s.stop = append(s.stop, func() { cancel(); <-done })
	return n
}

func (s *site) close() {
	for _, stop := range s.stop {
		stop()
	}
}

func submission(id string) *workload.Submission {
	return &workload.Submission{
		ID: id, Queue: "q", AcceptedAt: time.Now(),
		Steps:  []workload.Step{{Tasks: 2, Request: hostapi.Resources{MilliCPU: 1000, MemoryMiB: 1}, Estimate: time.Second}},
		Policy: workload.Policy{Service: "register", MaxAttempts: 2, SlackFactor: 1},
	}
}

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// Guards against the whole path: accepted at a node that does not own the
// cell, run by the owner, shown as completed by both.
func TestSubmissionCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite()
		defer s.close()
		s.group.give("a")
		a, b := s.node("a", nil), s.node("b", nil)
		time.Sleep(2 * time.Second)
		is.True(a.Ready() && b.Ready())
		is.NoErr(b.Submit(within(3*time.Second), submission("s")))
		is.NoErr(a.Submit(within(3*time.Second), submission("s")))
		time.Sleep(5 * time.Second)
		for _, n := range []*coordinator.Node{a, b} {
			state, err := n.State(within(time.Second), "s")
			is.NoErr(err)
			is.Equal(state, workload.Completed)
		}
		for _, starts := range s.fleet.starts {
			is.Equal(starts, 1)
		}
	})
}

// Guards against "no such submission" for one that was accepted elsewhere,
// told by a node whose reads are behind the log's end.
func TestUnknownOnlyAfterTheLogsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite()
		defer s.close()
		a, b := s.node("a", nil), s.node("b", nil)
		time.Sleep(2 * time.Second)
		s.log.set(func() { s.log.behind = 1 })
		is.NoErr(a.Submit(within(3*time.Second), submission("s")))
		_, err := b.State(within(2*time.Second), "s")
		is.True(errors.Is(err, coordinator.ErrUnavailable))
		s.log.set(func() { s.log.behind = 0 })
		_, err = b.State(within(2*time.Second), "s")
		is.NoErr(err)
		_, err = b.State(within(2*time.Second), "other")
		is.True(errors.Is(err, coordinator.ErrNoSubmission))
	})
}

// Guards against a refusal that says "not accepted" after an append whose
// answer was lost: the submission may be on the log and will run.
func TestLostAnswerIsNotARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite()
		defer s.close()
		a := s.node("a", nil)
		time.Sleep(time.Second)
		s.log.set(func() { s.log.down, s.log.done = errors.New("answer lost"), true })
		err := a.Submit(within(2*time.Second), submission("s"))
		is.True(errors.Is(err, coordinator.ErrOutcomeUnknown))
		s.log.set(func() { s.log.down, s.log.done = coordinator.ErrNotDone, false })
		began := time.Now()
		err = a.Submit(within(2*time.Second), submission("r"))
		is.True(errors.Is(err, coordinator.ErrUnavailable))
		is.True(time.Since(began) < 2*time.Second)
		s.log.set(func() { s.log.down = nil })
		s.group.give("a")
		time.Sleep(5 * time.Second)
		state, err := a.State(within(time.Second), "s")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
	})
}

// Guards against an owner without the store that goes on for ever, and against
// one that gives its cell up at the first lost call.
func TestOwnerWithoutGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite()
		defer s.close()
		lost := false
		s.group.give("a")
		a := s.node("a", &lost)
		time.Sleep(2 * time.Second)
		s.group.set(func() { lost = true })
		time.Sleep(3 * time.Second)
		is.NoErr(a.Submit(within(3*time.Second), submission("s")))
		time.Sleep(4 * time.Second)
		state, err := a.State(within(time.Second), "s")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
		time.Sleep(10 * time.Second)
		is.NoErr(a.Submit(within(3*time.Second), submission("late")))
		time.Sleep(4 * time.Second)
		state, err = a.State(within(time.Second), "late")
		is.NoErr(err)
		is.Equal(state, workload.Queued)
	})
}

// Guards against a cancelled submission that goes on, and a cancellation of an
// unknown one that is reported as done.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite()
		defer s.close()
		s.group.give("a")
		a := s.node("a", nil)
		time.Sleep(2 * time.Second)
		is.True(errors.Is(a.Cancel(within(2*time.Second), "none"), coordinator.ErrNoSubmission))
		is.NoErr(a.Submit(within(3*time.Second), submission("s")))
		time.Sleep(300 * time.Millisecond)
		is.NoErr(a.Cancel(within(2*time.Second), "s"))
		time.Sleep(300 * time.Millisecond)
		s.fleet.mu.Lock()
		is.Equal(len(s.fleet.runs), 0)
		s.fleet.mu.Unlock()
		state, err := a.State(within(time.Second), "s")
		is.NoErr(err)
		is.Equal(state, workload.Cancelled)
	})
}

// Guards against a small node that owns cells beside larger ones, and against
// cells that nobody owns when the larger ones are gone.
func TestReserveServesOnlyAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite()
		defer s.close()
		s.group.volunteers = true
		s.group.give("small")
		n := s.reserve("small")
		time.Sleep(5 * time.Second)
		is.Equal(s.group.asked["small"], 0)
		is.True(n.Ready())
		s.group.set(func() { s.group.volunteers = false })
		time.Sleep(5 * time.Second)
		is.NoErr(n.Submit(within(3*time.Second), submission("s")))
		time.Sleep(4 * time.Second)
		state, err := n.State(within(time.Second), "s")
		is.NoErr(err)
		is.Equal(state, workload.Completed)
	})
}

// Guards against cells of one node that read the list of workers side by side:
// the reader is not made for that, and each read is paid.
func TestCellsShareTheWorkerList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite()
		defer s.close()
		s.group.cells = 3
		s.group.give("a")
		a := s.node("a", nil)
		time.Sleep(2 * time.Second)
		for i := range 6 {
			is.NoErr(a.Submit(within(3*time.Second), submission(fmt.Sprint(i))))
		}
		time.Sleep(5 * time.Second)
		s.fleet.mu.Lock()
		is.Equal(s.fleet.mostListing, 1)
		s.fleet.mu.Unlock()
		completed := 0
		for i := range 6 {
			if state, err := a.State(within(time.Second), fmt.Sprint(i)); err == nil && state == workload.Completed {
				completed++
			}
		}
		is.True(completed > 0) // those of the worker's cell
	})
}

// Guards against a state dump that hangs, or says nothing of an owned cell.
func TestDump(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite()
		defer s.close()
		s.group.give("a")
		a, b := s.node("a", nil), s.node("b", nil)
		time.Sleep(2 * time.Second)
		is.NoErr(a.Submit(within(3*time.Second), submission("s")))
		time.Sleep(300 * time.Millisecond)
		d := a.Dump(within(time.Second))
		is.True(d.Ready)
		is.True(d.Cells[0].Owned)
		is.Equal(d.Cells[0].Machine.Workers.Listed, 1)
		is.Equal(d.Cells[0].Machine.Runs["running"], 2)
		is.True(b.Dump(within(time.Second)).Cells[0].Machine == nil)
	})
}
