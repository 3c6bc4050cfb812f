package tasks

import (
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// Event is an input of Machine.Step.
type Event interface {
	// Type returns the event's name in traces.
	Type() string
}

// Events returns a zero value of each event type, for decoding traces.
func Events() []Event {
	return []Event{
		Tick{}, Applied{}, WorkChanged{}, WorkThrough{}, WorkersListed{}, Owned{},
		Disowned{}, AuthorityChanged{}, PredecessorsChanged{}, PlacingChanged{},
		PlacementDecided{}, EvictRequested{}, MoveRequested{}, CheckpointRequested{},
		Observed{}, StartAnswered{}, CheckpointAnswered{}, StopAnswered{},
		MoveOffered{}, MoveConfirmed{},
	}
}

// Tick triggers everything that is due at the time of the step. The daemon
// sends one at least every 100 ms.
type Tick struct{}

// Applied delivers one batch of the task stream. Batches arrive in offset order
// without gaps, from the stream's first offset or, after Restore, from the
// first offset after the snapshot.
type Applied struct {
	Offset  int64              `json:"offset"`
	ID      record.ID          `json:"id"`
	Records []*recordpb.Record `json:"records"`
}

// WorkChanged reports that a job or service was declared, changed or deleted.
type WorkChanged struct {
	Work    Work `json:"work"`
	Deleted bool `json:"deleted,omitempty"`
}

// WorkThrough reports that WorkChanged has been sent for every job and service
// that exists at Version. Work created at or below Version that has not been
// declared is deleted.
type WorkThrough struct {
	Version api.Version `json:"version"`
}

// WorkersListed sets the workers of the cell according to the VM list.
type WorkersListed struct {
	Workers []Worker `json:"workers"`
}

// Worker is a worker of the cell.
type Worker struct {
	ID string `json:"id"`
	// Leaving workers get no new attempts.
	Leaving  bool              `json:"leaving,omitempty"`
	Capacity hostapi.Resources `json:"capacity"`
}

// Owned reports that this VM owns the cell with a new term.
type Owned struct {
	Term int64 `json:"term"`
	// Rescue restricts the owner to moving tasks to other cells. Every attempt
	// of an earlier term has certainly ended.
	Rescue bool `json:"rescue,omitempty"`
	// Predecessors is the number of previous owners that are not known to be gone
	// and may still renew leases.
	Predecessors int `json:"predecessors"`
}

// Disowned reports that another VM owns the cell with a newer term.
type Disowned struct{}

// AuthorityChanged sets how long this VM may send commands, on the local clock.
type AuthorityChanged struct {
	// PlaceUntil is the end of the authority to place and start tasks: the
	// earlier of the end of the cell's lease and the end of freshness.
	PlaceUntil time.Duration `json:"placeUntil"`
	// RenewUntil is the end of the authority to send Renew, Checkpoint, Stop and
	// Forget: the time just before the last successful read of the claims stream
	// up to its head was sent, plus the offline limit.
	RenewUntil time.Duration `json:"renewUntil"`
}

// PredecessorsChanged sets the number of previous owners that are not known to be
// gone.
type PredecessorsChanged struct {
	Count int `json:"count"`
}

// PlacingChanged reports whether the data centre is in service, which placing
// and starting tasks requires.
type PlacingChanged struct {
	Allowed bool `json:"allowed"`
}

// PlacementDecided asks to place a pending task. The machine ignores it if the
// task is not pending, the worker is not ready or too small, or the authority to
// place tasks has ended.
type PlacementDecided struct {
	Task   string `json:"task"`
	Worker string `json:"worker"`
	// Requests are the resources to reserve, which can differ from the declared
	// requests; the zero value stands for the declared requests.
	Requests hostapi.Resources `json:"requests,omitzero"`
}

// EvictRequested asks to evict a running attempt.
type EvictRequested struct {
	Task    string `json:"task"`
	Attempt int64  `json:"attempt"`
	// To is the cell that the task moves to afterwards, or nil.
	To *recordpb.Cell `json:"to,omitempty"`
}

// MoveRequested asks to move a pending task to another cell.
type MoveRequested struct {
	Task string         `json:"task"`
	To   *recordpb.Cell `json:"to"`
}

// CheckpointRequested asks for a checkpoint of a running attempt.
type CheckpointRequested struct {
	Task    string `json:"task"`
	Attempt int64  `json:"attempt"`
}

// Observed delivers a worker's answer to Observe or Fence.
type Observed struct {
	// SentAt is the local time just before the request was sent.
	SentAt time.Duration       `json:"sentAt"`
	State  hostapi.WorkerState `json:"state"`
}

// StartAnswered delivers the answer to Start.
type StartAnswered struct {
	Worker string            `json:"worker"`
	ID     hostapi.AttemptID `json:"id"`
	// Refused means that the worker answered that the start had no effect.
	// An unknown outcome is not reported; the machine retries the start.
	Refused bool `json:"refused,omitempty"`
}

// CheckpointAnswered delivers the answer to Checkpoint.
type CheckpointAnswered struct {
	ID hostapi.AttemptID `json:"id"`
	// Name is the name of the checkpoint, or "" if none could be made.
	Name string `json:"name,omitempty"`
}

// StopAnswered delivers the answer to Stop, which is the final report of the
// attempt.
type StopAnswered struct {
	Worker string          `json:"worker"`
	Boot   string          `json:"boot"`
	Report hostapi.Attempt `json:"report"`
}

// MoveOffered delivers another cell's offer to move a task to this cell.
type MoveOffered struct {
	From *recordpb.Cell `json:"from"`
	Task string         `json:"task"`
	// Attempt is the last attempt that has ended.
	Attempt    int64  `json:"attempt"`
	Checkpoint string `json:"checkpoint,omitempty"`
	// Move counts the moves of the task, this one included.
	Move     int64 `json:"move"`
	Failures int64 `json:"failures,omitempty"`
}

// MoveConfirmed reports that the target cell of a move has read back the Adopted
// record.
type MoveConfirmed struct {
	Task string `json:"task"`
	Move int64  `json:"move"`
}
