package coordinator_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// ofQueue returns a submission to a queue, with the queue's name as its spec.
func ofQueue(id, queue string) *workload.Submission {
	s := submission(id)
	s.Queue, s.Spec = queue, queue
	return s
}

// checkID checks that at every node an id stands for the submission to queue q, in a state, and for
// no other one.
func (c *cluster) checkID(is *is.I, id string, want workload.State) {
	otherBody := ofQueue(id, "q")
	otherBody.Steps[0].Estimate += time.Microsecond
	repeat := ofQueue(id, "q")
	repeat.Policy = workload.Policy{Service: "register", MaxAttempts: 7, Priority: 3}
	for vm, n := range c.nodes {
		if c.isKilled(vm) {
			continue
		}
		is.True(errors.Is(n.Submit(timeoutContext(3*time.Second), ofQueue(id, "other")), coordinator.ErrIDInUse))
		is.True(errors.Is(n.Submit(timeoutContext(3*time.Second), otherBody), coordinator.ErrIDInUse))
		is.NoErr(n.Submit(timeoutContext(3*time.Second), repeat))
		_, err := n.StateFor(timeoutContext(2*time.Second), coordinator.Caller{Queue: "other"}, id)
		is.True(errors.Is(err, coordinator.ErrNoSubmission))
		err = n.CancelFor(timeoutContext(2*time.Second), coordinator.Caller{Queue: "other"}, id)
		is.True(errors.Is(err, coordinator.ErrNoSubmission))
		state, err := n.StateFor(timeoutContext(2*time.Second), coordinator.Caller{Queue: "q"}, id)
		is.NoErr(err)
		is.Equal(state, want)
	}
}

// Guards against a submission that is answered as stored, shown or cancelled by the id of another
// one, at any node, while the first one runs, after it, and after a takeover from a snapshot; and
// against a repeat that is refused then.
func TestIDStandsForTheFirstSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(1, newFakeWorkers("none", "w"), "a", "b", "c")
		defer c.close()
		is.NoErr(c.nodes["c"].Submit(timeoutContext(3*time.Second), ofQueue("s", "q")))
		time.Sleep(100 * time.Millisecond)
		c.checkID(is, "s", workload.Running)
		time.Sleep(5 * time.Second)
		c.checkID(is, "s", workload.Completed)
		time.Sleep(40 * time.Second)
		c.log.update(func() {
			is.True(c.log.snapshots[0] != nil)
			c.log.logStart = 1
		})
		c.group.assign(0, "b")
		time.Sleep(20 * time.Second)
		c.checkID(is, "s", workload.Completed)
	})
}

// Guards against two submissions with one id that are both accepted, or an owner that runs another
// one than its successor knows, when two nodes accept them at the same time and the owner hears of
// them in either order.
func TestIDSubmittedTwiceAtOnce(t *testing.T) {
	for _, late := range []string{"b", "c"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := startCluster(1, newFakeWorkers("none", "w"), "a", "b", "c")
			defer c.close()
			c.nodes[late].SetPeer("a", lateNotices{c.nodes["a"], 50 * time.Millisecond})
			// The owner hears of the submissions by notifications alone.
			c.log.update(func() { c.log.hiddenRecords = 2 })
			queues := map[string]string{"b": "q", "c": "other"}
			errs := make(map[string]chan error)
			for _, vm := range []string{"b", "c"} {
				answer := make(chan error, 1)
				errs[queues[vm]] = answer
				go func() { answer <- c.nodes[vm].Submit(timeoutContext(3*time.Second), ofQueue("s", queues[vm])) }()
				time.Sleep(time.Millisecond)
			}
			is.NoErr(<-errs["q"])
			is.True(errors.Is(<-errs["other"], coordinator.ErrIDInUse))
			c.log.update(func() { c.log.hiddenRecords = 0 })
			time.Sleep(5 * time.Second)
			c.checkID(is, "s", workload.Completed)
			c.group.assign(0, "b")
			time.Sleep(20 * time.Second)
			c.checkID(is, "s", workload.Completed)
		})
	}
}

// lateNotices is a peer to which notifications arrive late.
type lateNotices struct {
	coordpb.Coordinator
	delay time.Duration
}

func (p lateNotices) Notify(ctx context.Context, q *coordpb.NotifyRequest) (*coordpb.NotifyAnswer, error) {
	time.Sleep(p.delay)
	return p.Coordinator.Notify(ctx, q)
}

// Guards against a submission that is shown with the state of another one, although no owner could
// say whether its id is in use when it was accepted.
func TestIDAcceptedTwiceWithoutAnOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(1, newFakeWorkers("none", "w"), "a", "b", "c")
		defer c.close()
		for _, vm := range []string{"b", "c"} {
			c.cutLink(vm, "a", true)
		}
		is.NoErr(c.nodes["b"].Submit(timeoutContext(3*time.Second), ofQueue("s", "q")))
		is.NoErr(c.nodes["c"].Submit(timeoutContext(3*time.Second), ofQueue("s", "other")))
		is.True(errors.Is(c.nodes["c"].Submit(timeoutContext(3*time.Second), ofQueue("s", "q")), coordinator.ErrOutcomeUnknown))
		for _, vm := range []string{"b", "c"} {
			c.cutLink(vm, "a", false)
		}
		time.Sleep(5 * time.Second)
		c.checkID(is, "s", workload.Completed)
	})
}

// Guards against a repeat that is refused, or another submission that is answered as stored, because
// a node of an earlier version recorded the first one, which keeps less of it.
func TestIDOfASubmissionWithoutAFingerprint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(1, newFakeWorkers("none", "w"), "a", "b", "c")
		defer c.close()
		s := ofQueue("s", "q")
		s.Steps[0].Estimate += 300 * time.Microsecond
		r := ledger.SubmittedRecord(s)
		r.Submitted.Fingerprint = 0
		data, err := ledger.Encode(r)
		is.NoErr(err)
		_, err = c.log.Append(t.Context(), coordinator.Stream{Topic: "intake"}, [][]byte{data}, nil)
		is.NoErr(err)
		check := func() {
			other := ofQueue("s", "q")
			other.Spec = "another"
			for _, n := range c.nodes {
				is.NoErr(n.Submit(timeoutContext(3*time.Second), s))
				is.True(errors.Is(n.Submit(timeoutContext(3*time.Second), other), coordinator.ErrIDInUse))
				is.True(errors.Is(n.Submit(timeoutContext(3*time.Second), ofQueue("s", "other")), coordinator.ErrIDInUse))
			}
		}
		time.Sleep(time.Second)
		check()
		time.Sleep(40 * time.Second)
		c.log.update(func() { c.log.logStart = 1 })
		c.group.assign(0, "b")
		time.Sleep(20 * time.Second)
		check()
	})
}

// Guards against a cancellation that precedes the submission to another queue and cancels it, also
// after a takeover from a snapshot.
func TestEarlyCancellationOfAnotherQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(1, newFakeWorkers("none", "w"), "a", "b", "c")
		defer c.close()
		for _, id := range []string{"s", "t"} {
			err := c.nodes["b"].CancelFor(timeoutContext(2*time.Second), coordinator.Caller{Queue: "other"}, id)
			is.True(errors.Is(err, coordinator.ErrNoSubmission))
		}
		time.Sleep(40 * time.Second)
		c.log.update(func() { c.log.logStart = 1 })
		c.group.assign(0, "b")
		time.Sleep(20 * time.Second)
		is.NoErr(c.nodes["c"].Submit(timeoutContext(3*time.Second), ofQueue("s", "q")))
		is.NoErr(c.nodes["c"].Submit(timeoutContext(3*time.Second), ofQueue("t", "other")))
		time.Sleep(5 * time.Second)
		c.checkID(is, "s", workload.Completed)
		state, err := c.nodes["a"].StateFor(timeoutContext(2*time.Second), coordinator.Caller{Queue: "other"}, "t")
		is.NoErr(err)
		is.Equal(state, workload.Cancelled)
	})
}
