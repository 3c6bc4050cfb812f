package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// Action is what a machine asks for.
type Action interface{ isAction() }

// Append asks for records to be appended to the cell stream, in order.
type Append struct {
	Token   int64
	Records []*ledgerpb.Record
}

// Target names the life of a worker that an order is for.
type Target struct {
	workload.Incarnation
	Address string
}

// Heartbeat asks for a worker's report and extends its lease.
type Heartbeat struct {
	Target
	// Cursor acknowledges ends up to it.
	Cursor int64
	// Deadline is the lease's end on the worker's clock; 0 extends nothing.
	Deadline time.Duration
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// Start asks a worker to start a run.
type Start struct {
	Target
	Run        workload.RunID
	Spec       string
	Checkpoint string
	// Deadline is the lease's end on the worker's clock.
	Deadline time.Duration
}

// Stop asks a worker to stop a run.
type Stop struct {
	Target
	Run workload.RunID
}

// StepDown tells that a worker has seen a higher epoch: the machine is of no use.
type StepDown struct{ Worker string }

func (Append) isAction()    {}
func (Heartbeat) isAction() {}
func (Start) isAction()     {}
func (Stop) isAction()      {}
func (StepDown) isAction()  {}
func (Decision) isAction()  {}
