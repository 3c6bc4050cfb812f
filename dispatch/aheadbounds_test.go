package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a task that waits without a bound for the room for which its run was recorded ahead,
// while one stop after the other on its worker is answered and has no effect.
func TestRunRecordedAheadIsWithdrawnInTime(t *testing.T) {
	const bound = 200*time.Millisecond + 500*time.Millisecond
	is := is.New(t)
	l := newLoadSim(1, 1)
	l.run(time.Second)
	for i := range 6 {
		l.submitLasting(fmt.Sprintf("part-%d", i), 1, 10000, 1)
	}
	l.submitLasting("missing", 1, 14000, 1)
	l.idleStops = true
	placed := l.decisions[dispatch.RunPlaced]
	recorded := time.Duration(0)
	for i := range 5 {
		l.cancelNow(fmt.Sprintf("part-%d", i))
		for range 200 {
			l.run(time.Millisecond)
			if recorded == 0 && l.decisions[dispatch.RunPlaced] > placed {
				recorded = l.now
			}
			if l.decisions[dispatch.RunRefused] > 0 {
				is.Equal(l.reasons[dispatch.RunRefused], "the room has not been cleared in time")
				is.True(l.now-recorded <= bound+20*time.Millisecond)
				return
			}
		}
	}
	is.Fail() // the run is never withdrawn
}

// Guards against a task that waits for room on a paused worker, although another one has room.
func TestRunRecordedAheadLeavesAPausedWorker(t *testing.T) {
	is := is.New(t)
	l := awaitRoom()
	l.cancelNow("small")
	l.run(60 * time.Millisecond)
	paused := l.workers[l.lastPlaced]
	step := lastingStep(1, 4000)
	paused.runs[workload.RunID{Task: workload.TaskID{Submission: "unknown"}, Run: 1}] = &loadRun{step: &step, started: l.now}
	l.answerHeartbeat(paused)
	l.run(20 * time.Millisecond)
	is.Equal(l.reasons[dispatch.RunRefused], "worker is paused")
	l.run(150 * time.Millisecond)
	is.Equal(l.countRuns("missing"), 1)
	is.Equal(paused.runsOf("missing"), 0)
}
