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

var (
	north = coordinator.Caller{Tenant: "north", Queue: "q"}
	south = coordinator.Caller{Tenant: "south", Queue: "q"}
)

// Guards against a tenant that sees, cancels or takes over the submission of another one, at
// the owner, at a node that asks it, and at one that can't and reads the log.
func TestSubmissionsOfOtherTenantsAreHidden(t *testing.T) {
	for _, cut := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := startCluster(1, newFakeWorkers("none", "w"), "a", "b", "c")
			defer c.close()
			s := submission("s")
			s.Tenant = "north"
			is.NoErr(c.nodes["c"].Submit(timeoutContext(3*time.Second), s))
			c.cutLink("b", "a", cut)
			c.cutLink("c", "a", cut)
			for _, n := range c.nodes {
				_, err := n.StateFor(timeoutContext(2*time.Second), south, "s")
				is.True(errors.Is(err, coordinator.ErrHidden) && errors.Is(err, coordinator.ErrNoSubmission))
				is.True(errors.Is(n.CancelFor(timeoutContext(2*time.Second), south, "s"), coordinator.ErrHidden))
				_, err = n.StateFor(timeoutContext(2*time.Second), coordinator.Caller{Queue: "public"}, "s")
				is.True(errors.Is(err, coordinator.ErrHidden))
			}
			other := submission("s")
			other.Tenant = "south"
			is.True(errors.Is(c.nodes["c"].Submit(timeoutContext(3*time.Second), other), coordinator.ErrIDInUse))
			time.Sleep(5 * time.Second)
			for _, n := range c.nodes {
				for _, caller := range []coordinator.Caller{north, {}, {Queue: "q"}} {
					state, err := n.StateFor(timeoutContext(2*time.Second), caller, "s")
					is.NoErr(err)
					is.Equal(state, workload.Completed)
				}
			}
		})
	}
}

// Guards against a submission that its own tenant, or every caller of its queue in the case of a
// public queue or of one from before tenants were declared, can't see, and against one that callers
// of another queue see or cancel.
func TestSubmissionsWithoutATenantAreShown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startCluster(1, newFakeWorkers("none", "w"), "a", "b")
		defer c.close()
		is.NoErr(c.nodes["b"].Submit(timeoutContext(3*time.Second), submission("s")))
		for _, n := range c.nodes {
			for _, caller := range []coordinator.Caller{north, south, {Queue: "q"}, {}} {
				_, err := n.StateFor(timeoutContext(2*time.Second), caller, "s")
				is.NoErr(err)
			}
			for _, caller := range []coordinator.Caller{{Queue: "public"}, {Tenant: "north", Queue: "other"}} {
				_, err := n.StateFor(timeoutContext(2*time.Second), caller, "s")
				is.True(errors.Is(err, coordinator.ErrHidden))
				is.True(errors.Is(n.CancelFor(timeoutContext(2*time.Second), caller, "s"), coordinator.ErrHidden))
			}
		}
		is.NoErr(c.nodes["b"].CancelFor(timeoutContext(3*time.Second), south, "s"))
	})
}
