package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/ledger"
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

// HeartbeatAnswered is a worker's report.
type HeartbeatAnswered struct {
	Worker string
	// SentAt is when the hold was sent.
	SentAt time.Duration
	Report workload.Report
}

// HeartbeatFailed tells that a hold had no answer that counts.
type HeartbeatFailed struct {
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

// PredecessorResigned tells that no earlier owner gives leases any more, and
// when the last one has lapsed, counted from now.
type PredecessorResigned struct{ Expiry time.Duration }

// Tick lets time pass. Now is the time of day, for schedules.
type Tick struct{ Now time.Time }

func (EntryChanged) isEvent()      {}
func (WorkersListed) isEvent()     {}
func (Evacuated) isEvent()         {}
func (Appended) isEvent()          {}
func (HeartbeatAnswered) isEvent() {}
func (HeartbeatFailed) isEvent()   {}
func (StartAnswered) isEvent()     {}
func (StopAnswered) isEvent()      {}
func (Tick) isEvent()              {}

func (PredecessorResigned) isEvent() {}
