package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// Event is what a machine is told.
type Event interface{ isEvent() }

// EntryChanged tells that a record of the intake changed an entry.
type EntryChanged struct{ Entry *ledger.Entry }

// WorkersListed is the present list of the cell's workers.
type WorkersListed struct{ Workers []workload.Worker }

// Evacuated is the present set of evacuated data centres.
type Evacuated struct{ DataCentres map[string]bool }

// Appended tells that the records of an Append action are on the log.
type Appended struct{ Token int64 }

// HoldAnswered is a worker's report.
type HoldAnswered struct {
	Worker string
	// SentAt is when the hold was sent.
	SentAt time.Duration
	Report workload.Report
}

// HoldFailed tells that a hold had no answer that counts.
type HoldFailed struct {
	Worker string
	Answer Answer
}

// StartAnswered is the answer to a Start action.
type StartAnswered struct {
	Worker string
	Run    workload.RunID
	Answer Answer
	// Clock is the worker's clock, or 0 if the answer had none.
	Clock time.Duration
}

// StopAnswered is the answer to a Stop action.
type StopAnswered struct {
	Worker string
	Run    workload.RunID
	Answer Answer
}

// PaceAnswered is the answer to a Pace action.
type PaceAnswered struct {
	Worker string
	Run    workload.RunID
	Answer Answer
}

// PredecessorResigned tells that no earlier owner gives leases any more, and
// when the last one has lapsed, counted from now.
type PredecessorResigned struct{ Lapse time.Duration }

// Tick lets time pass. Now is the time of day, for schedules.
type Tick struct{ Now time.Time }

func (EntryChanged) isEvent()  {}
func (WorkersListed) isEvent() {}
func (Evacuated) isEvent()     {}
func (Appended) isEvent()      {}
func (HoldAnswered) isEvent()  {}
func (HoldFailed) isEvent()    {}
func (StartAnswered) isEvent() {}
func (StopAnswered) isEvent()  {}
func (PaceAnswered) isEvent()  {}
func (Tick) isEvent()          {}

func (PredecessorResigned) isEvent() {}

// Answer is a worker's answer to an order.
type Answer int

// Answers.
const (
	// Done: the order was carried out, or had been before.
	Done Answer = iota + 1
	// NoAnswer: the order may have been carried out, or may still be.
	NoAnswer
	// Fenced: the worker has seen a higher epoch; nothing was done.
	Fenced
	// Superseded: the run is not higher than one that ended or was stopped there.
	Superseded
	// TooLate: the start's deadline had passed; nothing was done.
	TooLate
	// NoRoom: the worker has no room; nothing was done.
	NoRoom
	// Unhealthy: the worker did nothing because it is not healthy.
	Unhealthy
	// OtherLife: the address answers as another worker.
	OtherLife
	// Rejected: the order was malformed or not allowed; nothing was done.
	Rejected
)

// String returns the answer's name.
func (a Answer) String() string {
	return [...]string{"none", "done", "no answer", "fenced", "superseded", "too late", "no room",
		"unhealthy", "other life", "rejected"}[a]
}

// Action is what a machine asks for.
type Action interface{ isAction() }

// Append asks for records to be appended to the cell stream, in order.
type Append struct {
	Token   int64
	Records []*ledgerpb.Record
}

// Target names the life of a worker that an order is for.
type Target struct {
	workload.Life
	Address string
}

// Hold asks for a worker's report and extends its lease.
type Hold struct {
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

// Pace asks a worker to let a run use only a share of its processors.
type Pace struct {
	Target
	Run workload.RunID
	// Percent is from 0 to 100.
	Percent int
}

// Retire tells that a worker has seen a higher epoch: the machine is of no use.
type Retire struct{ Worker string }

// Decision describes a decision for the log.
type Decision struct {
	Kind   DecisionKind
	Run    workload.RunID
	Worker string
	// Reason is what decided.
	Reason string
	// Age is how old the deciding input was.
	Age time.Duration
}

func (Append) isAction()   {}
func (Hold) isAction()     {}
func (Start) isAction()    {}
func (Stop) isAction()     {}
func (Pace) isAction()     {}
func (Retire) isAction()   {}
func (Decision) isAction() {}

// DecisionKind tells what was decided.
type DecisionKind int

// Kinds of decisions.
const (
	RunPlaced DecisionKind = iota + 1
	RunStarted
	RunRefused
	RunEnded
	RunLost
	RunStopped
	RunPaced
	WorkerSuspected
	WorkerTrusted
	WorkerReborn
)

// String returns the kind's name.
func (k DecisionKind) String() string {
	return [...]string{"none", "placed", "started", "refused", "ended", "lost", "stopped", "paced",
		"worker suspected", "worker trusted", "worker reborn"}[k]
}
