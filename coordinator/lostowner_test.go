package coordinator_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/coordinator/coordpb"
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

// Guards against a task that runs twice: its owner is cut off beside its worker, from the
// store and from some of the other VMs, and goes on extending the lease for as long as its
// witnesses confirm it.
func TestOwnerCutOffWithItsWorkerGrantsNoLeaseThatItsSuccessorDoesNotKnow(t *testing.T) {
	others := []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}
	for name, reached := range map[string][]string{
		"no witness": nil, "two of five": others[3:], "two of five only it reaches": others[3:],
		"three of five": others[2:], "all but the successor": others[1:],
	} {
		for _, delay := range []time.Duration{0, 2 * time.Second, 5 * time.Second} {
			t.Run(fmt.Sprintf("%s, takeover after %v", name, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := startSilentWorkerTest(t, 6)
					defer s.close()
					time.Sleep(ownerAuthority)
					s.cutToAllBut("vm-0", append(others, "vm-0")...)
					s.cutPeers("vm-0", true, others...)
					s.cutPeers("vm-0", false, reached...)
					if strings.HasSuffix(name, "only it reaches") {
						s.cutPeers("vm-1", true, reached...)
					}
					s.cutStore("vm-0", true)
					time.Sleep(delay)
					s.group.assign(0, "vm-1")
					s.waitForRestart(confirmedFor + dispatch.LeaseExpiryBound(clusterLease) + maxTakeoverTime)
				})
			})
		}
	}
}

// confirmedFor is how long an owner grants full leases after a confirmation.
const confirmedFor = 700 * time.Millisecond

// Guards against runs that lapse in an outage of the store, because the owner takes its
// witnesses for lost.
func TestOwnerKeepsItsWitnessesWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 6)
		defer s.close()
		time.Sleep(ownerAuthority)
		for vm := range s.nodes {
			s.cutStore(vm, true)
		}
		time.Sleep(fullLeases - time.Second)
		if left := s.leaseEnd(); left < clusterLease/2 {
			t.Fatalf("the lease ends in %v", left)
		}
	})
}

// Guards against an owner that goes on with witnesses that have ended: its leases would run
// out although the store and other VMs are there.
func TestOwnerReplacesItsWitnesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 9)
		defer s.close()
		time.Sleep(ownerAuthority)
		for i := 1; i <= 4; i++ {
			s.isolate(fmt.Sprintf("vm-%d", i), 9)
		}
		time.Sleep(2 * ownerAuthority)
		if left := s.leaseEnd(); left < clusterLease/2 {
			t.Fatalf("the lease ends in %v", left)
		}
		s.silence()
		silentAt := time.Now()
		s.isolate("vm-0", 9)
		s.group.assign(0, "vm-5")
		s.waitForRestart(confirmedFor + dispatch.LeaseExpiryBound(clusterLease) + maxTakeoverTime - time.Since(silentAt))
	})
}

// Guards against a process that confirms an owner in place of an earlier one at its address,
// which may have told a successor that it won't.
func TestAnotherProcessConfirmsNothing(t *testing.T) {
	is := is.New(t)
	n := coordinator.NewNode(coordinator.Config{VM: "vm-0", Cells: 1}, newHarness().platform(nil), nil, coordinator.NewMetrics())
	q := &coordpb.ConfirmOwnerRequest{Epoch: 7, Process: n.Process()}
	answer, err := n.ConfirmOwner(t.Context(), q)
	is.NoErr(err)
	is.True(answer.Confirmed)
	last, err := n.LastConfirmed(t.Context(), &coordpb.LastConfirmedRequest{Epoch: 8, Process: n.Process()})
	is.NoErr(err)
	is.True(!last.Never)
	answer, err = n.ConfirmOwner(t.Context(), q)
	is.NoErr(err)
	is.True(!answer.Confirmed)
	answer, err = n.ConfirmOwner(t.Context(), &coordpb.ConfirmOwnerRequest{Epoch: 9, Process: n.Process() + 1})
	is.NoErr(err)
	is.True(!answer.Confirmed)
}

// Guards against a task that runs twice: the only witness that both a cut-off owner and its
// successor reach is replaced by a process that doesn't know what the one before confirmed.
func TestSuccessorCountsWhatAReplacedWitnessMayHaveConfirmed(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
		for _, takeover := range []time.Duration{0, time.Second, 4 * time.Second} {
			t.Run(fmt.Sprintf("replaced after %v, takeover %v later", after, takeover), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					vms := []string{"vm-0", "vm-1", "vm-2", "vm-3"}
					s := startSilentWorkerTest(t, len(vms))
					defer s.close()
					time.Sleep(ownerAuthority)
					s.cutToAllBut("vm-0", vms...)
					s.cutStore("vm-0", true)
					s.cutPeers("vm-0", true, "vm-1")
					s.cutPeers("vm-1", true, "vm-3")
					time.Sleep(after)
					s.replaceProcess("vm-2", 2, vms...)
					time.Sleep(takeover)
					s.group.assign(0, "vm-1")
					s.waitForRestart(after + confirmedFor + dispatch.LeaseExpiryBound(clusterLease) + maxTakeoverTime)
				})
			})
		}
	}
}

// replaceProcess ends the process of a VM, whose number is n, and starts another one there.
func (s *silentWorkerTest) replaceProcess(vm string, n int, vms ...string) {
	s.stops[n]()
	s.addNode(vm, 1)
	for _, other := range vms {
		if other != vm {
			s.nodes[vm].SetPeer(other, s.peer(vm, other))
			s.nodes[other].SetPeer(vm, s.peer(other, vm))
		}
	}
	s.stops[n] = s.runNode(vm)
}

// runNode runs the node of a VM until the returned function is called.
func (s *silentWorkerTest) runNode(vm string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		s.nodes[vm].Run(ctx)
		close(done)
	}()
	return func() { cancel(); <-done }
}

// Guards against runs that lapse because the witnesses of their owner were stopped in turn
// shortly before an outage of the store, in which no others can be recorded.
func TestWitnessesThatAreStoppedAreReplacedBeforeTheyEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 9)
		defer s.close()
		time.Sleep(ownerAuthority)
		for i := 1; i <= 5; i++ {
			s.nodes[fmt.Sprintf("vm-%d", i)].Stop(t.Context())
		}
		time.Sleep(time.Second)
		for i := 1; i <= 5; i++ {
			s.kill(fmt.Sprintf("vm-%d", i), s.stops[i])
		}
		for vm := range s.nodes {
			s.cutStore(vm, true)
		}
		time.Sleep(fullLeases - time.Second)
		if left := s.leaseEnd(); left < clusterLease/2 {
			t.Fatalf("the lease ends in %v", left)
		}
	})
}
