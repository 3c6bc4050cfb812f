package dispatch_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// submitLasting submits a long-running submission with one step.
func (l *loadSim) submitLasting(id string, tasks int, milliCPU int64, maxUnavailable int) {
	step := lastingStep(tasks, milliCPU)
	step.MaxUnavailable = maxUnavailable
	l.submit(&workload.Submission{
		ID: id, Queue: "q", Steps: []workload.Step{step}, Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 3},
	})
	l.run(500 * time.Millisecond)
}

// fillTwoWorkers fills two workers of 64 cores with a run of 40 and one of 10 cores each.
func fillTwoWorkers(maxUnavailable int) *loadSim {
	l := newLoadSim(1, 2)
	l.run(time.Second)
	l.submitLasting("large", 2, 40000, 1)
	l.submitLasting("small", 2, 10000, maxUnavailable)
	l.run(2 * time.Second)
	return l
}

// Guards against long-running tasks that wait without a trace of the room that there is for them,
// or would be after a move.
func TestRoomForWaitingLongRunningTasksIsReported(t *testing.T) {
	is := is.New(t)
	l := fillTwoWorkers(1)
	is.Equal(l.decisions[dispatch.RoomReported], 0)
	l.submitLasting("missing", 3, 25000, 1)
	l.run(4 * time.Second)
	is.True(l.decisions[dispatch.RoomReported] >= 3)
	is.True(l.decisions[dispatch.RoomReported] <= 8)
	is.True(strings.HasPrefix(l.reasons[dispatch.RoomReported], "3 long-running tasks (0 have had a run) wait for 75000m CPU, the smallest for 25000m; 2 usable workers have 28000m free, one at most 14000m; 0 of the tasks fit a worker, 0 after one run is moved, 0 if finite runs are stopped as well; since"))
	is.Equal(dispatch.RoomReported.String(), "room reported")
}
