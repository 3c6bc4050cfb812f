package coordinator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a cancellation that does not reach the cell's owner because it was
// accepted by the former owner, which has not noticed its successor.
func TestCancelAtAFormerOwnerStopsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(1, newFakeWorkers("*", "w"), "a", "b", "c")
		defer c.close()
		s := longRunningIn("s", 0, 1)
		is.NoErr(c.nodes["b"].Submit(timeoutContext(time.Second), s))
		time.Sleep(2 * time.Second)
		is.Equal(c.workers.countRunning(s.ID), 1)
		for _, peer := range []string{"b", "c", "w"} {
			c.cutLink("a", peer, true)
			c.cutLink(peer, "a", true)
		}
		c.group.mu.Lock()
		c.group.cut["a"] = true
		c.group.mu.Unlock()
		c.group.assign(0, "c")
		time.Sleep(time.Second)
		is.True(c.ownerIsPublished(is, "c"))
		is.NoErr(c.nodes["a"].Cancel(timeoutContext(time.Second), s.ID))
		time.Sleep(time.Second)
		is.Equal(c.workers.countRunning(s.ID), 0)
		state, err := c.nodes["c"].State(timeoutContext(time.Second), s.ID)
		is.NoErr(err)
		is.Equal(state, workload.Cancelled)
	})
}

// ownerIsPublished reports whether a VM is published as the owner of cell 0.
func (c *cluster) ownerIsPublished(is *is.I, vm string) bool {
	values, err := c.log.Values(timeoutContext(time.Second))
	is.NoErr(err)
	r, err := ledger.Decode(values["0"])
	is.NoErr(err)
	return r.Opened.GetVm() == vm
}
