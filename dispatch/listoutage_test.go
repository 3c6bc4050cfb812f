package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against runs that lapse after a takeover because the list of workers can't be read,
// and against a run that is stopped for the same reason.
func TestLeasesAreExtendedWhileTheListCannotBeRead(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	var runs []workload.RunID
	for _, id := range []string{"active", "starting"} {
		h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
			ID: id, Queue: "q", Steps: []workload.Step{plainStep}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
		}))
		run := workload.RunID{Task: workload.TaskID{Submission: id}, Run: 1}
		h.ledger.Apply(ledger.PlacedRecord(run, workload.Incarnation{Worker: "w", StartMillis: 1}, "w"))
		runs = append(runs, run)
	}
	h.active[runs[0]] = workload.ActiveRun{RunID: runs[0], ProgressPercent: 100}
	h.takeOver(2)
	answered := 0
	for range 50 {
		h.advance(100 * time.Millisecond)
		if n := h.count(isHeartbeat); n > answered {
			answered = n
			h.report()
		}
	}
	is.True(h.count(grants) > 0)
	is.Equal(h.count(stopOf("active"))+h.count(stopOf("starting")), 0)
	h.listWorker(workload.Worker{})
	h.advance(time.Second)
	h.report()
	is.Equal(h.count(startOf("starting")), 1)
	is.Equal(h.count(func(a dispatch.Action) bool { _, ok := a.(dispatch.Stop); return ok }), 0)
}
