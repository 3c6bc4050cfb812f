package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a start of a run that was recorded ahead on a worker that lists a run which this owner
// doesn't have, and so has an unknown part of the room.
func TestRecordedRunIsNotStartedBesideAnUnknownRun(t *testing.T) {
	is := is.New(t)
	l := awaitRoom()
	l.cancelNow("small")
	l.run(60 * time.Millisecond)
	step := lastingStep(1, 24000)
	for i, w := range l.sortedWorkers() {
		unknown := workload.RunID{Task: workload.TaskID{Submission: "unknown", Index: i}, Run: 1}
		w.runs[unknown] = &loadRun{step: &step, started: l.now}
	}
	l.run(2 * time.Second)
	is.Equal(l.rejected, 0)
	is.Equal(l.countRuns("missing"), 1)
}
