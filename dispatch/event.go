package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Event is an input of a machine.
type Event interface{ isEvent() }

// EntryChanged reports that a record of the intake changed an entry.
type EntryChanged struct{ Entry *ledger.Entry }

// WorkersListed is the current list of the cell's workers. All are those of all cells, and
// are not changed later: the successor of a crashed worker may belong to another cell.
type WorkersListed struct{ Workers, All []workload.Worker }

// Evacuated is the current set of evacuated data centres.
type Evacuated struct{ DataCentres map[string]bool }

// Appended reports that the records of an Append action are in the log.
type Appended struct{ ID int64 }

// HeartbeatAnswered is a worker's report in answer to a heartbeat.
type HeartbeatAnswered struct {
	Worker string
	// SentAt is when the heartbeat was sent.
	SentAt time.Duration
	Report workload.Report
}

// HeartbeatFailed reports that a heartbeat was refused or not answered.
type HeartbeatFailed struct {
	Worker string
	Answer Answer
}

// StartAnswered is the answer to a Start action.
type StartAnswered struct {
	Worker string
	Run    workload.RunID
	Answer Answer
	// Clock is the reading of the worker's clock, or 0 if the answer had none.
	Clock time.Duration
	// Found is the incarnation that answered in place of the one that was meant (WrongWorker),
	// if it is known.
	Found workload.Incarnation
	// Took is the time from the command to its answer, or 0 if it is not known.
	Took time.Duration
}

// StopAnswered is the answer to a Stop action.
type StopAnswered struct {
	Worker string
	// Incarnation is the one that the stop was sent to; empty stands for the present one.
	Incarnation workload.Incarnation
	Run         workload.RunID
	Answer      Answer
}

// PaceAnswered is the answer to a Pace action.
type PaceAnswered struct {
	Worker  string
	Run     workload.RunID
	Percent int
	Answer  Answer
}

// PredecessorResigned reports that the previous owner grants no leases any more. All leases
// that it and owners before it granted to a worker, or will grant, have expired after the
// time in Leases, or after Expiry if the worker is not in it, counted from now.
type PredecessorResigned struct {
	// Sole: no owner before the previous one can grant leases any more either. SoleAfter is how
	// long the previous one goes on with a hand-over.
	Sole      bool
	SoleAfter time.Duration
	Expiry    time.Duration
	Leases    map[workload.Incarnation]time.Duration
}

// LeasesReported tells when the leases of some workers have expired, those of the previous owner
// and of owners before it, counted from now. The previous owner may go on sending commands.
type LeasesReported struct {
	Expiry map[workload.Incarnation]time.Duration
}

// WitnessesChosen requests that witnesses of this owner be recorded. It is answered by
// WitnessesRecorded.
type WitnessesChosen struct{ Witnesses ledger.Witnesses }

// CapacityFound is a cell's answer to FindCapacity: how many tasks of each demand its
// workers could take, all together.
type CapacityFound struct {
	Cell  int
	Tasks []int
}

// SearchEnded reports that all cells have answered FindCapacity that did so in time.
type SearchEnded struct{}

// Resumed reports that the VM was suspended, so that what other cells confirmed may be
// older than the node's clock shows.
type Resumed struct{}

// GuestsConfirmed reports the submissions of other cells that were not final when
// they were queried. SentAt is the time for which that is known.
type GuestsConfirmed struct {
	IDs    []string
	SentAt time.Duration
}

// Tick advances the time. Now is the wall-clock time, for schedules.
type Tick struct{ Now time.Time }

func (EntryChanged) isEvent()      {}
func (WorkersListed) isEvent()     {}
func (Evacuated) isEvent()         {}
func (Appended) isEvent()          {}
func (HeartbeatAnswered) isEvent() {}
func (HeartbeatFailed) isEvent()   {}
func (StartAnswered) isEvent()     {}
func (StopAnswered) isEvent()      {}
func (PaceAnswered) isEvent()      {}
func (Tick) isEvent()              {}

func (LeasesReported) isEvent()      {}
func (WitnessesChosen) isEvent()     {}
func (PredecessorResigned) isEvent() {}
func (CapacityFound) isEvent()       {}
func (SearchEnded) isEvent()         {}
func (Resumed) isEvent()             {}
func (GuestsConfirmed) isEvent()     {}
