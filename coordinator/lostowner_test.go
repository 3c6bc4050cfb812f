package coordinator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
)

// Guards against a wait for leases that an owner whose VM was lost beside a worker could have
// granted while it was cut off: nothing refuses connections there, and nobody can be asked.
func TestLostOwnerDoesNotProlongTheWaitForASilentWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 6
		s := startSilentWorkerTest(t, vms)
		defer s.close()
		time.Sleep(ownerAuthority)
		s.silence()
		silentAt := time.Now()
		time.Sleep(300 * time.Millisecond)
		s.isolate("vm-0", vms)
		time.Sleep(silentTakeoverInterval / 2)
		s.group.assign(0, "vm-1")
		s.waitForRestart(dispatch.LeaseExpiryBound(clusterLease) + maxTakeoverTime - time.Since(silentAt))
	})
}
