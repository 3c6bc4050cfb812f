package coordinator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
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

// Guards against an owner that is recorded as the only one that can grant leases while an
// owner before its predecessor, cut off beside a worker, still extends them: a successor of
// a restarted process would then expect no later leases, and the task would run twice.
func TestOwnerIsNotSoleWhileAnEarlierOneHasAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 3)
		defer s.close()
		s.cutToAllBut("vm-0", "vm-0", "vm-1", "vm-2")
		s.cutStore("vm-0", true)
		s.cutPeers("vm-0", true, "vm-1", "vm-2")
		s.group.assign(0, "vm-1")
		time.Sleep(time.Second)
		s.group.assign(0, "vm-2")
		// vm-0 has authority for at least 7 s more.
		time.Sleep(2 * time.Second)
		if s.ownerIsSole() {
			t.Fatal("vm-2 is recorded as the only owner that can grant leases, while vm-0 grants them")
		}
	})
}

// ownerIsSole reports whether the log says that no owner of an earlier epoch can grant
// leases any more.
func (s *silentWorkerTest) ownerIsSole() bool {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	var owner ledger.Owner
	for _, data := range s.log.streams[coordinator.Stream{Topic: coordinator.CellTopic, Partition: 0}] {
		if r, err := ledger.Decode(data); err == nil && r.Opened != nil {
			owner = ledger.OwnerOf(r.Opened)
		}
	}
	return owner.Sole
}

// Guards against an owner that was restarted, owns the cell again before its successor has
// asked it, and waits as if its previous process could still grant leases.
func TestOwnerThatWasRestartedKnowsThatItsLeasesAreOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 2)
		defer s.close()
		// The first owner records that it is the sole one.
		time.Sleep(ownerAuthority)
		s.silence()
		s.restart("vm-0", "vm-1")
		s.cutLink("vm-1", "vm-0", true)
		s.group.assign(0, "vm-1")
		time.Sleep(2 * time.Second)
		s.group.assign(0, "vm-0")
		s.waitForRestart(dispatch.LeaseExpiryBound(2*clusterLease) + maxTakeoverTime - 2*time.Second)
	})
}

// restart ends the process of the first VM and starts another one.
func (s *silentWorkerTest) restart(vm, other string) {
	s.stops[0]()
	s.addNode(vm, 1)
	s.nodes[vm].SetPeer(other, remotePeer{Coordinator: s.nodes[other], isCut: func() bool { return s.linkIsCut(vm, other) }})
	s.nodes[other].SetPeer(vm, remotePeer{Coordinator: s.nodes[vm], isCut: func() bool { return s.linkIsCut(other, vm) }})
	s.stops[0] = s.runNode(vm)
}

// Guards against a wait for leases that expired long ago, because the owner that granted
// them was stopped while the store was away and could tell nobody that the worker was
// silent.
func TestStopWhileTheStoreIsAwayDoesNotProlongTheWaitForASilentWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 2)
		defer s.close()
		time.Sleep(ownerAuthority)
		s.silence()
		s.cutStore("vm-0", true)
		s.cutStore("vm-1", true)
		time.Sleep(clusterLease)
		s.restart("vm-0", "vm-1")
		s.cutStore("vm-0", true)
		time.Sleep(time.Second)
		s.cutStore("vm-0", false)
		s.cutStore("vm-1", false)
		s.group.assign(0, "vm-1")
		s.waitForRestart(s.leaseEnd() + maxRestartDelay)
	})
}

// Guards against the same wait if the process that replaces the stopped owner owns the cell
// itself: the other nodes were told at the stop which leases remained, and pass it on.
func TestReplacedProcessLearnsWhichLeasesRemained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 2)
		defer s.close()
		time.Sleep(ownerAuthority)
		s.silence()
		s.stopWhileTheStoreIsAway(clusterLease)
		s.group.assign(0, "vm-0")
		s.waitForRestart(s.leaseEnd() + maxRestartDelay)
	})
}

// Guards against a wait that each stop of an owner without the store begins anew.
func TestStopsWhileTheStoreIsAwayDoNotProlongTheWaitForASilentWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 2)
		defer s.close()
		time.Sleep(ownerAuthority)
		s.silence()
		silentAt, limit := time.Now(), s.leaseEnd()+maxRestartDelay
		for range 3 {
			s.stopWhileTheStoreIsAway(500 * time.Millisecond)
			s.group.assign(0, "vm-0")
			time.Sleep(500 * time.Millisecond)
		}
		s.waitForRestart(limit - time.Since(silentAt))
	})
}

// stopWhileTheStoreIsAway replaces the process of the first VM after the store has been
// away for a while.
func (s *silentWorkerTest) stopWhileTheStoreIsAway(away time.Duration) {
	s.cutStore("vm-0", true)
	s.cutStore("vm-1", true)
	time.Sleep(away)
	s.restart("vm-0", "vm-1")
	s.cutStore("vm-0", true)
	time.Sleep(time.Second)
	s.cutStore("vm-0", false)
	s.cutStore("vm-1", false)
}

// Guards against a wait for leases that no owner can have granted, where nobody can say
// which remain: the owner and its data centre are gone, and the processes of all other VMs
// were replaced before the first successor had recorded anything.
func TestWaitAfterAllProcessesWereReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 3)
		defer s.close()
		time.Sleep(ownerAuthority)
		s.silence()
		s.isolate("vm-0", 3)
		time.Sleep(1500 * time.Millisecond)
		s.group.assign(0, "vm-1")
		time.Sleep(500 * time.Millisecond)
		s.isolate("vm-1", 3)
		s.startProcess("vm-3", "vm-0", "vm-1", "vm-2")
		s.group.assign(0, "vm-3")
		s.waitForRestart(dispatch.LeaseExpiryBound(fullLeases+clusterLease) + maxTakeoverTime)
	})
}

// startProcess starts a process that knows nothing of the past and reaches no other one.
func (s *silentWorkerTest) startProcess(vm string, others ...string) {
	s.addNode(vm, 1)
	for _, other := range others {
		s.nodes[vm].SetPeer(other, remotePeer{Coordinator: s.nodes[other], isCut: func() bool { return true }})
		s.nodes[other].SetPeer(vm, remotePeer{Coordinator: s.nodes[vm], isCut: func() bool { return true }})
	}
	s.stops = append(s.stops, s.runNode(vm))
}

// Guards against runs that lapse while the store is away for seconds, because their owner
// stops extending leases too soon.
func TestRunsOutlastAnOutageOfTheStore(t *testing.T) {
	for phase := range 8 {
		phase := time.Duration(phase) * 130 * time.Millisecond
		t.Run(phase.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startSilentWorkerTest(t, 2)
				defer s.close()
				time.Sleep(phase)
				for _, vm := range []string{"vm-0", "vm-1"} {
					s.cutStore(vm, true)
				}
				time.Sleep(9 * time.Second)
				s.cutStore("vm-0", false)
				s.cutStore("vm-1", false)
				time.Sleep(5 * time.Second)
				if starts, running := s.workers.starts(s.task), s.workers.countRunning(s.task.Submission); starts != 1 || running != 1 {
					t.Fatalf("the task was started %d times and has %d runs", starts, running)
				}
			})
		})
	}
}
