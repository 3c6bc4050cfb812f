package coordinator_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/dispatch"
)

// Guards against a task that runs twice: the first witnesses of an owner are recorded although
// most of them last confirmed it before it granted its newest leases.
func TestWitnessesAreNotRecordedWithAnOldMajority(t *testing.T) {
	for phase := time.Duration(0); phase < 2250*time.Millisecond; phase += 250 * time.Millisecond {
		for _, gap := range []time.Duration{1250 * time.Millisecond, 1500 * time.Millisecond, 1700 * time.Millisecond} {
			for _, onTrial := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					s := startSilentWorkerTest(t, 4)
					defer s.close()
					time.Sleep(ownerAuthority)
					cut := func(cut bool, others ...string) {
						for _, other := range others {
							s.cutLink("vm-1", other, cut)
						}
					}
					cut(true, "vm-0", "vm-2", "vm-3")
					asked := s.countConfirmations("vm-1", "vm-3")
					s.group.assign(0, "vm-1")
					// vm-1 is recorded as sole without having called a witness.
					time.Sleep(ownerAuthority + time.Second)
					if onTrial {
						// Candidates that confirm nothing are dropped, and called again later.
						s.waitForCall(asked, 2*ownerAuthority)
					}
					time.Sleep(phase)
					s.cutToAllBut("vm-1", "vm-0", "vm-1", "vm-2", "vm-3")
					cut(false, "vm-0", "vm-2")
					time.Sleep(300 * time.Millisecond)
					cut(true, "vm-0", "vm-2")
					time.Sleep(gap)
					cut(false, "vm-3")
					time.Sleep(600 * time.Millisecond)
					s.isolate("vm-1", 4)
					cut(false, "vm-3")
					s.cutLink("vm-2", "vm-3", true)
					time.Sleep(500 * time.Millisecond)
					s.group.assign(0, "vm-2")
					s.waitForRestart(4 * ownerAuthority)
				})
			}
		}
	}
}

// confirmationPeer passes the calls that ask for a confirmation through intercept.
type confirmationPeer struct {
	coordpb.Coordinator
	intercept func(ctx context.Context, confirm func() (*coordpb.ConfirmOwnerAnswer, error)) (*coordpb.ConfirmOwnerAnswer, error)
}

func (p confirmationPeer) ConfirmOwner(ctx context.Context, q *coordpb.ConfirmOwnerRequest) (*coordpb.ConfirmOwnerAnswer, error) {
	return p.intercept(ctx, func() (*coordpb.ConfirmOwnerAnswer, error) { return p.Coordinator.ConfirmOwner(ctx, q) })
}

// peer returns one VM as another one reaches it.
func (s *silentWorkerTest) peer(from, to string) remotePeer {
	return remotePeer{s.nodes[to], func() bool { return s.linkIsCut(from, to) }, func() bool { return s.isKilled(to) }}
}

// countConfirmations counts the calls of one VM that ask another one for a confirmation,
// answered or not.
func (s *silentWorkerTest) countConfirmations(from, to string) *atomic.Int64 {
	calls := new(atomic.Int64)
	s.nodes[from].SetPeer(to, confirmationPeer{s.peer(from, to), func(_ context.Context, confirm func() (*coordpb.ConfirmOwnerAnswer, error)) (*coordpb.ConfirmOwnerAnswer, error) {
		calls.Add(1)
		return confirm()
	}})
	return calls
}

// waitForCall waits until a counter of calls rises, and fails the test if it doesn't in time.
func (s *silentWorkerTest) waitForCall(calls *atomic.Int64, limit time.Duration) {
	for before, until := calls.Load(), time.Now().Add(limit); calls.Load() == before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			s.t.Fatalf("no call within %v", limit)
		}
	}
}

// Guards against a task that runs twice: the confirmations of an owner's witnesses arrive late,
// also after it was cut off, and it counts them as new.
func TestLateConfirmationsCountFromTheirCalls(t *testing.T) {
	for _, late := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 1900 * time.Millisecond} {
		for _, takeover := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
			t.Run(fmt.Sprintf("%v late, takeover after %v", late, takeover), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := startSilentWorkerTest(t, 4)
					defer s.close()
					for _, witness := range []string{"vm-1", "vm-2", "vm-3"} {
						s.nodes["vm-0"].SetPeer(witness, confirmationPeer{s.peer("vm-0", witness), func(ctx context.Context, confirm func() (*coordpb.ConfirmOwnerAnswer, error)) (*coordpb.ConfirmOwnerAnswer, error) {
							answer, err := confirm()
							select {
							case <-time.After(late):
								return answer, err
							case <-ctx.Done():
								return nil, ctx.Err()
							}
						}})
					}
					time.Sleep(ownerAuthority)
					s.cutToAllBut("vm-0", "vm-0", "vm-1", "vm-2", "vm-3")
					s.isolate("vm-0", 4)
					time.Sleep(takeover)
					s.group.assign(0, "vm-1")
					s.waitForRestart(confirmedFor + dispatch.LeaseExpiryBound(clusterLease) + maxTakeoverTime)
				})
			})
		}
	}
}

// Guards against a task that runs twice: an owner is recorded as sole while its predecessor
// goes on with its hand-over, and ends before the leases have expired.
func TestOwnerIsNotSoleBeforeTheHandOverHasEnded(t *testing.T) {
	for _, vms := range []int{3, 6} {
		for _, after := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
			t.Run(fmt.Sprintf("%d VMs, killed after %v", vms, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := startSilentWorkerTestWith(t, 7*time.Second, vms)
					defer s.close()
					// vm-0 has no witness, and only it reaches the worker.
					for vm := range s.nodes {
						s.cutLink("vm-0", vm, true)
					}
					time.Sleep(2 * ownerAuthority)
					for vm := range s.nodes {
						s.cutToAllBut("vm-0", vm)
					}
					s.group.assign(0, "vm-1")
					time.Sleep(after)
					s.kill("vm-1", s.stops[1])
					time.Sleep(silentTakeoverInterval / 2)
					s.group.assign(0, "vm-2")
					s.waitForRestart(4 * ownerAuthority)
				})
			})
		}
	}
}

// slowPeer delays each confirmation.
type slowPeer struct {
	coordpb.Coordinator
	delay func() time.Duration
}

func (p slowPeer) ConfirmOwner(ctx context.Context, q *coordpb.ConfirmOwnerRequest) (*coordpb.ConfirmOwnerAnswer, error) {
	select {
	case <-time.After(p.delay()):
		return p.Coordinator.ConfirmOwner(ctx, q)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Guards against leases that lapse because other VMs, or the links to them, are slow or don't
// answer.
func TestSlowWitnessesDoNotEndLeases(t *testing.T) {
	const never = 10 * time.Second
	for _, test := range []struct {
		vms, slow    int
		delay, lasts time.Duration
	}{
		{3, 2, 350 * time.Millisecond, time.Minute}, {12, 11, 350 * time.Millisecond, time.Minute}, {16, 15, 350 * time.Millisecond, time.Minute},
		{36, 35, 350 * time.Millisecond, time.Minute}, {36, 35, 350 * time.Millisecond, 6 * time.Second},
		{36, 11, never, time.Minute}, {36, 20, never, time.Minute}, {36, 35, never, 4 * time.Second},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startSilentWorkerTest(t, test.vms)
				defer s.close()
				until := time.Now()
				for _, to := range s.sortedNames()[1 : 1+test.slow] {
					s.nodes["vm-0"].SetPeer(to, slowPeer{remotePeer{s.nodes[to], func() bool { return s.linkIsCut("vm-0", to) }, nil}, func() time.Duration {
						s.mu.Lock()
						defer s.mu.Unlock()
						if time.Now().After(until) {
							return 0
						}
						return test.delay
					}})
				}
				time.Sleep(ownerAuthority)
				s.mu.Lock()
				until = time.Now().Add(test.lasts)
				s.mu.Unlock()
				for range 400 {
					time.Sleep(50 * time.Millisecond)
					if s.leaseEnd() < 0 {
						t.Fatalf("the lease lapsed; starts: %d", s.workers.starts(s.task))
					}
				}
			})
		})
	}
}

func (s *silentWorkerTest) sortedNames() (out []string) {
	for name := range s.nodes {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Guards against a wait for leases of owners before the last one: each was lost after it had
// recorded witnesses.
func TestOwnersLostOneAfterTheOther(t *testing.T) {
	for _, after := range []time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const vms = 8
				s := startSilentWorkerTest(t, vms)
				defer s.close()
				time.Sleep(ownerAuthority)
				s.isolate("vm-0", vms)
				time.Sleep(silentTakeoverInterval / 2)
				s.group.assign(0, "vm-1")
				time.Sleep(after)
				s.silence()
				s.isolate("vm-1", vms)
				time.Sleep(silentTakeoverInterval / 2)
				s.group.assign(0, "vm-2")
				s.waitForRestart(confirmedFor + dispatch.LeaseExpiryBound(clusterLease) + 500*time.Millisecond - silentTakeoverInterval/2)
			})
		})
	}
}
