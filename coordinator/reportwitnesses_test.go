package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/dispatch"
)

// Guards against a task that runs twice: its owner gives the cell up and is lost. It extends the
// lease of a worker that its successor doesn't reach, though few witnesses hold a report by which
// it may.
func TestOwnerLostAfterItsHandOver(t *testing.T) {
	const vms = 6
	for reached := range vms - 1 {
		for phase := time.Duration(0); phase < 1200*time.Millisecond; phase += 150 * time.Millisecond {
			for _, after := range []time.Duration{100 * time.Millisecond, 2500 * time.Millisecond} {
				t.Run(fmt.Sprintf("witnesses reached: %d, phase %v, lost after %v", reached, phase, after), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := startSilentWorkerTest(t, vms)
						defer s.close()
						s.silent.update(func() { s.silent.holds = true })
						time.Sleep(ownerAuthority + phase)
						s.cutToAllBut("vm-0", "vm-0", "vm-1", "vm-2", "vm-3", "vm-4", "vm-5")
						for i := 1; i < vms-reached; i++ {
							s.cutPeers("vm-0", true, fmt.Sprintf("vm-%d", i))
						}
						s.cutPeers("vm-0", true, "vm-1")
						s.group.assign(0, "vm-1")
						time.Sleep(after)
						s.isolate("vm-0", vms)
						s.waitForRestart(4 * ownerAuthority)
					})
				})
			}
		}
	}
}

// Guards against a task that runs twice: its worker, which holds its answers, is cut off with its
// owner, which some of the witnesses go on confirming.
func TestOwnerCutOffWithAWorkerThatHoldsItsAnswers(t *testing.T) {
	others := []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}
	for reached := range 5 {
		for _, delay := range []time.Duration{0, 1300 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("witnesses reached: %d, takeover after %v", reached, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := startSilentWorkerTest(t, 6)
					defer s.close()
					s.silent.update(func() { s.silent.holds = true })
					time.Sleep(ownerAuthority)
					s.cutToAllBut("vm-0", append(others, "vm-0")...)
					s.cutPeers("vm-0", true, others[:5-reached]...)
					s.cutStore("vm-0", true)
					time.Sleep(delay)
					s.group.assign(0, "vm-1")
					s.waitForRestart(confirmedFor + dispatch.LeaseExpiryBound(clusterLease) + maxTakeoverTime)
				})
			})
		}
	}
}

// earlierPeer is a node of a version without reports of leases.
type earlierPeer struct{ coordpb.Coordinator }

func (p earlierPeer) ConfirmOwner(ctx context.Context, q *coordpb.ConfirmOwnerRequest) (*coordpb.ConfirmOwnerAnswer, error) {
	answer, err := p.Coordinator.ConfirmOwner(ctx, &coordpb.ConfirmOwnerRequest{Cell: q.Cell, Epoch: q.Epoch, Process: q.Process})
	if err != nil {
		return nil, err
	}
	return &coordpb.ConfirmOwnerAnswer{Confirmed: answer.Confirmed, Leaving: answer.Leaving}, nil
}

func (p earlierPeer) LastConfirmed(ctx context.Context, q *coordpb.LastConfirmedRequest) (*coordpb.LastConfirmedAnswer, error) {
	answer, err := p.Coordinator.LastConfirmed(ctx, q)
	if err != nil {
		return nil, err
	}
	return &coordpb.LastConfirmedAnswer{Never: answer.Never, AgeMs: answer.AgeMs}, nil
}

func (earlierPeer) LastReport(context.Context, *coordpb.LastReportRequest) (*coordpb.LastReportAnswer, error) {
	return nil, errors.New("no such method")
}

// Guards against leases that lapse, or a task that runs twice or late, while some witnesses are of
// a version that knows no reports of leases: the successor goes by their confirmations.
func TestWitnessesOfAnEarlierVersion(t *testing.T) {
	for earlier := 1; earlier <= 5; earlier++ {
		t.Run(fmt.Sprint(earlier), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const vms = 6
				s := startSilentWorkerTest(t, vms)
				defer s.close()
				s.silent.update(func() { s.silent.holds = true })
				for i := 1; i <= earlier; i++ {
					to := fmt.Sprintf("vm-%d", i)
					for from := range s.nodes {
						s.nodes[from].SetPeer(to, earlierPeer{remotePeer{s.nodes[to], func() bool { return s.linkIsCut(from, to) }, nil}})
					}
				}
				// The witnesses of this owner are chosen beside them.
				s.group.assign(0, "vm-5")
				time.Sleep(2 * ownerAuthority)
				if left := s.leaseEnd(); left < clusterLease/2 {
					t.Fatalf("the lease ends in %v", left)
				}
				s.silence()
				silentAt := time.Now()
				time.Sleep(800 * time.Millisecond)
				s.isolate("vm-5", vms)
				time.Sleep(silentTakeoverInterval / 2)
				s.group.assign(0, "vm-0")
				s.waitForRestart(time.Second + confirmedFor + dispatch.LeaseExpiryBound(clusterLease) + 500*time.Millisecond - time.Since(silentAt))
			})
		})
	}
}

// Guards against runs that lapse because their worker, which holds its answers, isn't heard for
// three seconds at a time: its last lease was short, as its answer had not been reported.
func TestLeaseOutlastsThreeSecondsOfSilence(t *testing.T) {
	for phase := time.Duration(0); phase < 1200*time.Millisecond; phase += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			s := startSilentWorkerTest(t, 6)
			defer s.close()
			s.silent.update(func() { s.silent.holds = true })
			time.Sleep(ownerAuthority + phase)
			for range 4 {
				s.silence()
				time.Sleep(3 * time.Second)
				s.silent.update(func() { s.silent.silent = false })
				for range 80 {
					time.Sleep(25 * time.Millisecond)
					if s.leaseEnd() < 0 {
						t.Fatalf("phase %v: the lease lapsed; starts: %d", phase, s.workers.starts(s.task))
					}
				}
			}
		})
	}
}

// Guards against leases that are not extended at a hand-over because a report limits them: they
// would lapse before a successor that has no store for a while takes over.
func TestHandOverExtendsReportedLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 6)
		defer s.close()
		s.silent.update(func() { s.silent.holds = true })
		time.Sleep(ownerAuthority)
		s.cutStore("vm-1", true)
		s.group.assign(0, "vm-1")
		time.Sleep(clusterLease + time.Second)
		if left := s.leaseEnd(); left < clusterLease/2 {
			t.Fatalf("the lease ends in %v", left)
		}
	})
}
