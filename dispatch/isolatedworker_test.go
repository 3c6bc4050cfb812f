package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against workers that take no runs after a suspect was started there until their next
// heartbeat, which may wait for seconds, although the suspect has long survived.
func TestWorkerTakesRunsAsSoonAsASuspectHasSurvived(t *testing.T) {
	// A start has survived after 0.3 s; a record, a report and a start follow.
	const bound = 300*time.Millisecond + loadAppendDelay + 4*loadNetworkDelay + 50*time.Millisecond
	is := is.New(t)
	l := newLoadSim(1, 1)
	l.run(time.Second)
	e := l.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: "suspect", Queue: "q", Steps: []workload.Step{lastingStep(1, 10000)}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
	}))
	former := workload.RunID{Task: workload.TaskID{Submission: "suspect"}, Run: 1}
	l.ledger.Apply(ledger.PlacedRecord(former, workload.Incarnation{Worker: "former"}, ""))
	l.ledger.Apply(ledger.CrashedRecord(workload.Incarnation{Worker: "former"}, []workload.RunID{former}, 0))
	l.step(dispatch.EntryChanged{Entry: e})
	for l.countRuns("suspect") == 0 {
		l.run(time.Millisecond)
	}
	started := l.now
	l.submit(l.batch("next", 1, 1, 10000, 60000, 0))
	for l.starts < 2 && l.now < started+5*time.Second {
		l.run(time.Millisecond)
	}
	is.True(l.now-started > 300*time.Millisecond)
	is.True(l.now-started <= bound)
}
