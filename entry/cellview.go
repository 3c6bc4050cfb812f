package entry

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/peer/peerpb"
	"github.com/cactusreel/cactusreel/scheduler"
	"github.com/cactusreel/cactusreel/tasks"
)

// cellView is an immutable view of a cell that this VM owns.
type cellView struct {
	cell     int
	term     int64
	ownState ownership.State
	offset   int64
	// builtAt is when the view was built, on the local clock.
	builtAt time.Duration
	tasks   []tasks.View
	workers []tasks.WorkerView
	// pendingReasons holds why tasks are pending, by task id.
	pendingReasons map[string]string
	// taskCounts holds the numbers of tasks by job key.
	taskCounts map[string]*peerpb.TaskCount
	summary    scheduler.CellSummary
	// accepting is set if the cell may start tasks.
	accepting bool
}

// workerObservation is the newest answer of a worker.
type workerObservation struct {
	state hostapi.WorkerState
	// receivedAt is when the answer arrived, on the local clock.
	receivedAt time.Duration
}

// workerDeadline converts an end on the local clock to a deadline on the
// worker's clock that, within the drift bound, is not later.
func (o *workerObservation) workerDeadline(end time.Duration, drift float64) time.Duration {
	left := max(0, end-o.receivedAt)
	return o.state.Clock + time.Duration(float64(left)/(1+drift))
}
