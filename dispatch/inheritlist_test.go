package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a successor that stops the runs which its predecessor recorded and did not
// start, because it asks their workers before it knows which ones are listed.
func TestSuccessorResumesStartsOnListedWorkers(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: "s", Queue: "q", Steps: []workload.Step{plainStep}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
	}))
	run := workload.RunID{Task: workload.TaskID{Submission: "s"}, Run: 1}
	h.ledger.Apply(ledger.PlacedAtRecord(run, workload.Incarnation{Worker: "w", StartMillis: 1}, "w"))
	h.machine = dispatch.New(dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2, PredecessorExpiry: time.Minute}, h.ledger, h.now, time.Now())
	h.actions = nil
	h.advance(20 * time.Millisecond)
	if h.count(isHeartbeat) > 0 {
		h.report()
	}
	h.listWorker(workload.Worker{})
	h.advance(20 * time.Millisecond)
	h.report()
	is.Equal(h.count(stopOf("s")), 0)
	is.Equal(h.count(startOf("s")), 1)
}
