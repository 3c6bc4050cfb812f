package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// succeedOwner opens the next epoch with an owner that knows that all leases its predecessors
// granted have expired. The workers shorten leases to workerLease.
func (h *harness) succeedOwner(workerLease time.Duration) {
	h.ledger.Apply(ledger.OpenedRecord(ledger.Owner{Epoch: 2, VM: "b"}))
	h.machine = dispatch.New(dispatch.Config{
		Epoch: 2, Lease: simLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2, WorkerLeaseLimit: workerLease,
	}, h.ledger, h.now, time.Now())
	h.actions = nil
}

// reportOfRestarted answers a heartbeat to the second incarnation of the worker, which ends its
// connections and has been up for a while.
func (h *harness) reportOfRestarted(age time.Duration, active ...workload.ActiveRun) {
	h.handle(dispatch.HeartbeatAnswered{Worker: "w", SentAt: h.now, Report: workload.Report{
		Incarnation: workload.Incarnation{Worker: "w", StartMillis: 2}, Clock: age, Active: active, ConnectionEnded: true,
	}})
}

// Guards against a second run of a task whose start the next incarnation of its worker has carried
// out, because a successor takes a run that it inherited for one that ended with its incarnation.
func TestInheritedRunIsStoppedOnTheNextIncarnationOfItsWorker(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.reportOnEndedConnection()
	run := h.submitUnanswered("s", plainStep)
	h.succeedOwner(simLease)
	h.listRestarted()
	is.Equal(h.count(startOf("s")), 0)
	for range 5 {
		h.passWithoutRestarted()
	}
	is.Equal(h.count(startOf("s")), 0)
	h.reportOfRestarted(time.Second, workload.ActiveRun{RunID: run})
	h.passWithoutRestarted()
	is.Equal(h.count(startOf("s")), 0)
	is.True(h.count(stopOf("s")) > 0)
	for end := h.now + dispatch.CommandTimeout + dispatch.LeaseExpiryBound(simLease) + time.Second; h.now < end; {
		h.passWithoutRestarted()
	}
	is.Equal(h.count(startOf("s")), 1)
}

// Guards against a second run of a task whose first one a worker has by the longest lease, which it
// took from a call of a previous owner to its former incarnation.
func TestLeaseFromACallToTheFormerIncarnationOutlastsTheOwner(t *testing.T) {
	is := is.New(t)
	const workerLease = 2 * simLease
	h := newHarness(t)
	h.succeedOwner(workerLease)
	h.listRestarted()
	heard := h.now
	h.reportOfRestarted(time.Second)
	h.submit("s", plainStep)
	for range 5 {
		h.advance(20 * time.Millisecond)
	}
	is.Equal(h.count(startOf("s")), 1)
	for h.now < heard+workerLease {
		h.passWithoutRestarted()
		is.Equal(h.count(startOf("s")), 1)
	}
	for h.now < heard+dispatch.LeaseExpiryBound(workerLease)+time.Second {
		h.passWithoutRestarted()
	}
	is.Equal(h.count(startOf("s")), 2)
}

// Guards against a task that is run again although a previous owner saw its run succeed, because the
// worker has restarted since.
func TestKnownEndOfARunOnAFormerIncarnationCounts(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.reportOnEndedConnection()
	run := h.submitUnanswered("s", plainStep)
	h.succeedOwner(simLease)
	h.listRestarted()
	h.handle(dispatch.EndsLearned{Ends: []dispatch.KnownEnd{{
		Worker: workload.Incarnation{Worker: "w", StartMillis: 1}, Run: run, Outcome: workload.Succeeded,
	}}})
	is.Equal(h.ledger.Find("s").State(), workload.Completed)
}

// Guards against a wait that begins anew with each owner, for the lease that a silent incarnation may
// have from calls to its former one.
func TestTakeoversDoNotProlongTheWaitForCallsToAFormerIncarnation(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.reportOnEndedConnection()
	h.submitUnanswered("s", plainStep)
	ended := h.now
	for epoch := int64(2); h.count(startOf("s")) < 2 && h.now < ended+time.Minute; epoch++ {
		h.takeOver(epoch)
		h.listRestarted()
		for range 20 {
			h.passWithoutRestarted()
		}
	}
	is.Equal(h.count(startOf("s")), 2)
	is.True(h.now >= ended+simLease)
	is.True(h.now < ended+dispatch.CommandTimeout+dispatch.LeaseExpiryBound(simLease)+4*time.Second)
}

// Guards against two runs of a task at a time because a worker that ends its connections restarts
// between a call and its arrival, and its owner is replaced.
func TestSchedulesOfRestartsAndTakeovers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(160) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 6)
			s.crashes.takesFormerCalls = true
			for _, w := range s.workers {
				w.LeaseLimit = simLease
			}
			for i := range 30 {
				s.after(time.Duration(s.random.IntN(20000))*time.Millisecond, func() {
					s.appendIntake(ledger.SubmittedRecord(simSubmission(fmt.Sprintf("s%d", i), 1+s.random.IntN(6))))
				})
			}
			for range 8 {
				w := s.workers[fmt.Sprintf("w%d", s.random.IntN(len(s.workers)))]
				s.after(time.Duration(s.random.IntN(20000))*time.Millisecond, func() {
					s.restartThenCut(w)
					s.after(s.delay(600), func() { s.openEpoch() })
				})
			}
			s.after(26*time.Second, s.endFaults)
			s.run(s.now + 60*time.Second)
			for i := range 30 {
				id := fmt.Sprintf("s%d", i)
				if e := s.owner().ledger.Find(id); (e == nil || e.State() != workload.Completed) && !s.mayGiveUp(e) {
					t.Fatalf("%s has not completed", id)
				}
			}
		})
	}
}

// mayGiveUp reports whether so many workers have restarted under a task of an entry that it may be
// given up because of crashes.
func (s *sim) mayGiveUp(e *ledger.Entry) bool {
	if e == nil || e.State() != workload.Failed {
		return false
	}
	for id, crashes := range s.crashes.workers {
		if id.Submission == e.ID && crashes >= crashesOfGivenUp {
			return true
		}
	}
	return false
}
