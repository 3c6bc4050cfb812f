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

// Guards against a wait that the time without an owner prolongs: the second owner never heard the
// worker, and its record of the silence doesn't say how long before the takeover it was made.
func TestOwnersLostAfterAWorkerThatTheSecondNeverHeard(t *testing.T) {
	const findsItSilent = 1500 * time.Millisecond
	for _, after := range []time.Duration{1800 * time.Millisecond, 2 * time.Second, 2200 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const vms = 8
				s := startSilentWorkerTest(t, vms)
				defer s.close()
				time.Sleep(ownerAuthority)
				s.silence()
				time.Sleep(800 * time.Millisecond)
				s.isolate("vm-0", vms)
				time.Sleep(silentTakeoverInterval / 2)
				s.group.assign(0, "vm-1")
				time.Sleep(after)
				s.isolate("vm-1", vms)
				time.Sleep(silentTakeoverInterval / 2)
				s.group.assign(0, "vm-2")
				s.waitForRestart(findsItSilent)
			})
		})
	}
}
