package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/admission"
	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/workload"
)

// fullQueue is an outlook that rejects all submissions of the queue of the tests but a trickle.
func fullQueue() *admission.Outlook {
	q := new(admission.QueueOutlook)
	q.Sizes[admission.Other] = admission.SizeOutlook{Rejecting: true, Drain: 2 * time.Second}
	return &admission.Outlook{Queues: map[string]*admission.QueueOutlook{"q": q}, Rooms: map[string]admission.Room{"register": admission.NewRoom()}}
}

// shortCluster has an owner "a" with a full queue and a node "b" that accepts submissions.
type shortCluster struct {
	*cluster
	is   *is.I
	b    *coordinator.Node
	next int
}

func startShortCluster(t *testing.T) *shortCluster {
	c := &shortCluster{cluster: startCluster(1, fakeWorkers{"w": newFakeWorker()}, "a", "b"), is: is.New(t)}
	c.b = c.nodes["b"]
	for _, n := range c.nodes {
		n.Reject(true)
	}
	return c
}

// tell publishes the outlook of a full queue, which a submission brings to the node b.
func (c *shortCluster) tell() {
	c.nodes["a"].PublishOutlook(fullQueue())
	c.is.NoErr(c.submit(submission(c.newID())))
	time.Sleep(100 * time.Millisecond)
}

func (c *shortCluster) newID() string {
	c.next++
	return fmt.Sprint("s", c.next)
}

// submit submits at the node b. The objective is long, so that the owner itself sees no shortage.
func (c *shortCluster) submit(s *workload.Submission) error {
	s.Policy.SlackFactor = 1000
	return c.b.Submit(timeoutContext(3*time.Second), s)
}

// rejections returns how many of 40 new submissions are rejected.
func (c *shortCluster) rejections() int {
	n := 0
	for range 40 {
		if errors.Is(c.submit(submission(c.newID())), coordinator.ErrRejected) {
			n++
		}
	}
	return n
}

// Guards against a node that accepts what can't be started, though the owner has told it so, that
// rejects nothing or everything, or that says that a submission has not run which is stored.
func TestNodeRejectsByTheOwnersOutlook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startShortCluster(t)
		defer c.close()
		c.is.Equal(c.rejections(), 0)
		c.tell()
		n := c.rejections()
		c.is.True(n > 30)
		s := submission("again")
		for rejected := 0; rejected < 3; {
			err := c.submit(s)
			var rejection *coordinator.RejectedError
			if !errors.As(err, &rejection) {
				s = submission(c.newID())
				rejected = 0
				continue
			}
			c.is.True(rejection.RetryAfter >= time.Second && rejection.RetryAfter%time.Second == 0)
			state, err := c.b.State(timeoutContext(time.Second), s.ID)
			c.is.True(errors.Is(err, coordinator.ErrNoSubmission))
			c.is.Equal(state, workload.Unknown)
			rejected++
		}
		// Another node has stored it.
		for i := range 20 {
			stored := submission(fmt.Sprint("stored", i))
			c.nodes["a"].Reject(false)
			c.is.NoErr(c.nodes["a"].Submit(timeoutContext(3*time.Second), stored))
			c.is.NoErr(c.submit(stored))
		}
	})
}

// Guards against rejections by an old outlook, of an owner that can't be asked or has been replaced,
// while the store is away, or by a node that is not to reject.
func TestNothingIsRejectedWithoutACurrentOutlook(t *testing.T) {
	for name, change := range map[string]func(*shortCluster){
		"old":               func(*shortCluster) { time.Sleep(admission.MaxAge + time.Second) },
		"owner not reached": func(c *shortCluster) { c.cutLink("b", "a", true) },
		"owner replaced": func(c *shortCluster) {
			c.group.assign(0, "b")
			time.Sleep(1500 * time.Millisecond)
		},
		"store away": func(c *shortCluster) {
			c.operators.fault.set(func(f *callFault) { f.refused = true })
			c.cutStore("b", true)
			time.Sleep(2500 * time.Millisecond)
			c.nodes["a"].PublishOutlook(fullQueue())
		},
		"not to reject": func(c *shortCluster) { c.b.Reject(false) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startShortCluster(t)
				defer c.close()
				c.tell()
				c.is.True(errors.Is(c.rejectOne(), coordinator.ErrRejected))
				change(c)
				c.is.Equal(c.rejections(), 0)
			})
		})
	}
}

// rejectOne submits until a submission is rejected.
func (c *shortCluster) rejectOne() error {
	for range 20 {
		if err := c.submit(submission(c.newID())); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a rejection of a submission whose earlier append at the same node has an unknown
// outcome: it may be stored, and would run.
func TestSubmissionThatMayBeStoredIsNotRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startShortCluster(t)
		defer c.close()
		c.log.update(func() { c.log.appendErr = context.DeadlineExceeded })
		ids := []string{"u1", "u2", "u3", "u4", "u5", "u6"}
		for _, id := range ids {
			c.is.True(errors.Is(c.b.Submit(timeoutContext(200*time.Millisecond), submission(id)), coordinator.ErrOutcomeUnknown))
		}
		c.log.update(func() { c.log.appendErr = nil })
		time.Sleep(2 * time.Second)
		c.tell()
		for _, id := range ids {
			c.is.NoErr(c.submit(submission(id)))
		}
	})
}
