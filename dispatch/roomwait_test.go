package dispatch_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// awaitRoom fills two workers of 64 cores and submits a task that fits beside the run of either after
// the one of 10 cores there has ended. It returns when the task has waited for a while.
func awaitRoom() *loadSim {
	l := fillTwoWorkers(1)
	l.submitLasting("missing", 1, 24000, 1)
	l.run(2 * time.Second)
	return l
}

// Guards against room that stands empty while tasks wait, of which neither logs nor metrics say what
// holds it.
func TestHolderOfAwaitedRoomIsReported(t *testing.T) {
	is := is.New(t)
	l := awaitRoom()
	is.Equal(len(l.filled), 0)
	l.cancel("small")
	l.run(time.Second)
	is.Equal(l.countRuns("missing"), 1)
	is.Equal(len(l.filled), 1)
	filled, sum := l.filled[0], time.Duration(0)
	for _, d := range filled.Waits {
		sum += d
	}
	is.Equal(sum, filled.Age)
	is.Equal(filled.Waits["stop"], 2*loadNetworkDelay)
	is.True(filled.Waits["end to be listed"] >= 90*time.Millisecond)
	is.Equal(filled.Waits["start"], 2*loadNetworkDelay)
	is.True(strings.Contains(l.reasons[dispatch.RoomReported], "no room was filled that had been awaited"))
}

// Guards against a report on a task that waits which doesn't say what holds the room that no run uses.
func TestHolderOfRoomIsReportedWhileATaskWaits(t *testing.T) {
	is := is.New(t)
	l := awaitRoom()
	l.lostStops = true
	l.cancel("small")
	l.run(1500 * time.Millisecond)
	is.True(strings.Contains(l.reasons[dispatch.TaskWaiting], "2 (repeated command 2) are full because of room that no active run uses") ||
		strings.Contains(l.reasons[dispatch.TaskWaiting], "2 (stop 2) are full because of room that no active run uses"))
}

// Guards against the time of a start that is counted from before the placement.
func TestWaitForAStartBeginsAtThePlacement(t *testing.T) {
	is := is.New(t)
	l := newLoadSim(1, 2)
	l.run(time.Second)
	l.submitLasting("lasting", 2, 40000, 1)
	for range 40 {
		before := len(l.interrupted)
		for _, w := range l.sortedWorkers() {
			for _, run := range sortedRuns(w.runs) {
				l.end(w, run, workload.Errored)
			}
		}
		l.run(1030 * time.Millisecond)
		for _, d := range l.interrupted[before:] {
			is.True(d.Waits["start"] <= 2*loadNetworkDelay)
		}
	}
	is.True(len(l.interrupted) > 20)
}
