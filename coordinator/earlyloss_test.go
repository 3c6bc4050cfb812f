package coordinator_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
)

// Guards against a wait that counts from the loss of the owner where its worker was lost
// before, and is not recorded as silent yet. A worker that holds its answers back isn't known to
// be silent either.
func TestOwnerLostSoonAfterItsWorker(t *testing.T) {
	for _, holds := range []bool{false, true} {
		for after := 400 * time.Millisecond; after <= 2*time.Second; after += 400 * time.Millisecond {
			t.Run(fmt.Sprintf("holds %v, owner lost after %v", holds, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const vms = 6
					s := startSilentWorkerTest(t, vms)
					defer s.close()
					s.silent.update(func() { s.silent.holds = holds })
					time.Sleep(ownerAuthority)
					s.silence()
					silentAt := time.Now()
					time.Sleep(after)
					s.isolate("vm-0", vms)
					time.Sleep(silentTakeoverInterval / 2)
					s.group.assign(0, "vm-1")
					s.waitForRestart(confirmedFor + dispatch.LeaseExpiryBound(clusterLease) + 500*time.Millisecond - time.Since(silentAt))
				})
			})
		}
	}
}
