package coordinator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
)

// cutToAllBut cuts the links of all VMs but one to the worker of the task.
func (s *silentWorkerTest) cutToAllBut(vm string, vms ...string) {
	for _, other := range vms {
		if other != vm {
			s.cutLink(other, s.silentID(), true)
		}
	}
}

// silentID is the id of the worker that falls silent.
func (s *silentWorkerTest) silentID() string {
	for id, w := range s.workers {
		if w == s.silent {
			return id
		}
	}
	return ""
}

// cutPeers cuts a VM off from the other VMs in both directions, or ends that.
func (s *silentWorkerTest) cutPeers(vm string, cut bool, others ...string) {
	for _, other := range others {
		s.cutLink(vm, other, cut)
		s.cutLink(other, vm, cut)
	}
}

// Guards against an owner that was cut off beside a worker, owns the cell again after the
// cut, and waits for leases that it granted itself and that have expired.
func TestOwnerThatOwnsTheCellAgainKnowsItsOwnLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 2)
		defer s.close()
		s.cutStore("vm-0", true)
		s.cutPeers("vm-0", true, "vm-1")
		s.silence()
		time.Sleep(2 * time.Second)
		s.group.assign(0, "vm-1")
		time.Sleep(7 * time.Second)
		// vm-1 gives the cell up before its calls reach vm-0 again.
		s.cutStore("vm-0", false)
		s.cutLink("vm-0", "vm-1", false)
		s.group.assign(0, "vm-0")
		time.Sleep(time.Second)
		s.cutLink("vm-1", "vm-0", false)
		s.waitForRestart(maxRestartDelay)
	})
}

// Guards against a task that runs twice: an owner that was cut off with a worker is
// admitted again just before its authority ends, and extends the worker's lease when it
// gives the cell up, beyond the time that its successor waits.
func TestHandOverAfterACutEndsBeforeTheSuccessorsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 2)
		defer s.close()
		// An owner with nothing to record does not notice that it is fenced.
		time.Sleep(ownerAuthority)
		s.cutToAllBut("vm-0", "vm-0", "vm-1")
		s.cutStore("vm-0", true)
		s.cutPeers("vm-0", true, "vm-1")
		s.group.assign(0, "vm-1")
		time.Sleep(ownerAuthority - time.Second)
		// Only the peers stay cut off.
		s.cutStore("vm-0", false)
		s.waitForRestart(ownerAuthority + dispatch.LeaseExpiryBound(2*clusterLease) + maxTakeoverTime)
	})
}

// Guards against a task that runs twice: an owner that was cut off with a worker is
// assigned the cell again while another one owned it, goes on in its old epoch, and
// extends the worker's lease beyond the time that its successors wait.
func TestOwnerThatIsAssignedTheCellAgainDoesNotGoOnInItsOldEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 3)
		defer s.close()
		s.cutToAllBut("vm-0", "vm-0", "vm-1", "vm-2")
		s.cutStore("vm-0", true)
		s.cutPeers("vm-0", true, "vm-1", "vm-2")
		s.group.assign(0, "vm-1")
		time.Sleep(ownerAuthority - 500*time.Millisecond)
		// The joins of vm-0 succeed for a moment, its other calls of the store don't.
		s.group.assign(0, "vm-0")
		s.group.mu.Lock()
		s.group.cut["vm-0"] = false
		s.group.mu.Unlock()
		time.Sleep(400 * time.Millisecond)
		s.group.mu.Lock()
		s.group.cut["vm-0"] = true
		s.group.mu.Unlock()
		s.group.assign(0, "vm-2")
		s.waitForRestart(2*ownerAuthority + dispatch.LeaseExpiryBound(2*clusterLease) + maxTakeoverTime)
	})
}
