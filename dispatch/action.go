package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/admission"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// Action is an action that a machine requests from its caller.
type Action interface{ isAction() }

// Append requests that records be appended to the cell stream, in order. It is
// answered by Appended with the same ID.
type Append struct {
	ID      int64
	Records []*ledgerpb.Record
}

// Target is the worker incarnation that a command is addressed to.
type Target struct {
	workload.Incarnation
	Address string
}

// Heartbeat requests a worker's report, acknowledges ended runs and renews the
// worker's lease.
type Heartbeat struct {
	Target
	// Cursor acknowledges the ended runs up to and including this sequence number.
	Cursor int64
	// Deadline is the end of the lease on the worker's clock; 0 does not renew it.
	Deadline time.Duration
	// Shorter is by how much the lease is shorter than the one that others are granted at the
	// same time, because the worker drains.
	Shorter time.Duration
	// Wait is the maximum time for which the worker may delay its answer until a
	// run ends.
	Wait time.Duration
}

// Start commands a worker to start a run.
type Start struct {
	Target
	Run        workload.RunID
	Spec       string
	Checkpoint string
	// Deadline is the end of the lease on the worker's clock.
	Deadline time.Duration
}

// Stop commands a worker to stop a run.
type Stop struct {
	Target
	Run workload.RunID
}

// Pace commands a worker to give a run a part of its CPU time from now on, in percent. It
// takes effect in a tenth of a second, a stop only after the worker's stop time. It is
// answered by PaceAnswered.
type Pace struct {
	Target
	Run     workload.RunID
	Percent int
}

// StepDown reports that a worker has seen a higher epoch: the owner must give up
// the cell.
type StepDown struct{ Worker string }

// WitnessesRecorded reports that a record of this owner's witnesses is in the log.
type WitnessesRecorded struct{ Number int64 }

// FindCapacity requests a search for other cells with free capacity for waiting tasks.
// It is answered by CapacityFound for each cell and then by SearchEnded.
type FindCapacity struct{ Demands []Demand }

// Transfer requests that a Transferred record be appended to the intake of another
// cell, until it is in the log. An append that is repeated does no harm.
type Transfer struct {
	Cell   int
	Record *ledgerpb.Record
}

// CheckGuests requests the states of submissions of other cells. It is answered by
// GuestsConfirmed; those that are final are cancelled in the intake.
type CheckGuests struct{ IDs []string }

// OutlookChanged tells what submissions can expect. It is repeated while some are rejected.
type OutlookChanged struct{ Outlook *admission.Outlook }

func (Append) isAction()       {}
func (Heartbeat) isAction()    {}
func (Start) isAction()        {}
func (Stop) isAction()         {}
func (Pace) isAction()         {}
func (StepDown) isAction()     {}
func (Decision) isAction()     {}
func (FindCapacity) isAction() {}
func (Transfer) isAction()     {}
func (CheckGuests) isAction()  {}

func (OutlookChanged) isAction() {}

func (WitnessesRecorded) isAction() {}
