package coordinator_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
)

// refuse makes a VM and other ones refuse each other's connections until the returned function is called,
// although their processes go on.
func (s *silentWorkerTest) refuse(vm string, others ...string) (end func()) {
	refusing := new(atomic.Bool)
	refusing.Store(true)
	refusedPeer := func(from, to string) remotePeer {
		peer := s.peer(from, to)
		peer.isKilled = refusing.Load
		return peer
	}
	for _, other := range others {
		s.nodes[vm].SetPeer(other, refusedPeer(vm, other))
		s.nodes[other].SetPeer(vm, refusedPeer(other, vm))
	}
	return func() { refusing.Store(false) }
}

// restartKilled starts another process on a VM, whose number is n, after the process there was killed.
func (s *silentWorkerTest) restartKilled(vm string, n int, vms ...string) {
	s.mu.Lock()
	s.killed[vm] = false
	s.mu.Unlock()
	for worker := range s.workers {
		s.cutLink(vm, worker, false)
	}
	s.replaceProcess(vm, n, vms...)
	s.cutStore(vm, false)
}

// Guards against a task that runs twice: an owner whose connections were refused by a cut, or are still, is
// taken for ended, and its leases for expired, while it goes on extending them.
func TestRefusedConnectionsDoNotEndAnOwner(t *testing.T) {
	for _, vms := range []int{2, 6} {
		for _, healed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d VMs, connected again: %v", vms, healed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := startSilentWorkerTest(t, vms)
					defer s.close()
					names := make([]string, vms)
					for i := range names {
						names[i] = fmt.Sprint("vm-", i)
					}
					time.Sleep(ownerAuthority)
					end := s.refuse("vm-0", names[1:]...)
					time.Sleep(6 * time.Second)
					if healed {
						end()
						time.Sleep(5 * time.Second)
						s.cutPeers("vm-0", true, names[1:]...)
					}
					s.cutToAllBut("vm-0", names...)
					s.cutStore("vm-0", true)
					s.group.assign(0, "vm-1")
					s.waitForRestart(fullLeases + dispatch.LeaseExpiryBound(clusterLease) + maxTakeoverTime)
				})
			})
		}
	}
}
