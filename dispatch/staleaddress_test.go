package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a successor that asks at the address of an earlier incarnation for a
// worker whose own address is not recorded: another worker there would look like its end.
func TestAddressOfAnEarlierIncarnationIsNotUsed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	for i, address := range []string{"former", ""} {
		id := []string{"a", "b"}[i]
		h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{ID: id, Queue: "q", Steps: []workload.Step{plainStep}}))
		run := workload.RunID{Task: workload.TaskID{Submission: id}, Run: 1}
		h.ledger.Apply(ledger.PlacedRecord(run, workload.Incarnation{Worker: "w", StartMillis: int64(i + 1)}, address))
	}
	h.takeOver(2)
	h.handle(dispatch.WorkersListed{})
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(func(a dispatch.Action) bool {
		heartbeat, ok := a.(dispatch.Heartbeat)
		return ok && heartbeat.Address == "former"
	}), 0)
}
