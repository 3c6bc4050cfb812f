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

// Tick lets time pass. The daemon sends one at least every 100 ms.
type Tick struct{}

// Applied brings one batch of the task stream. Batches come in offset order
// without gaps, from the stream's first offset or from the one after Restore.
type Applied struct {
	Offset  int64              `json:"offset"`
	ID      record.ID          `json:"id"`
	Records []*recordpb.Record `json:"records"`
}

// WorkChanged declares a job or a service, or says that it was deleted.
type WorkChanged struct {
	Work    Work `json:"work"`
	Deleted bool `json:"deleted,omitempty"`
}

// WorkThrough says that every job and service that exists at Version has been
// declared. Work created at or below Version that is not declared is deleted.
type WorkThrough struct {
	Version api.Version `json:"version"`
}

// WorkersListed sets the workers of the cell by the VM list.
type WorkersListed struct {
	Workers []Worker `json:"workers"`
}

// Worker is a worker of the cell.
type Worker struct {
	ID string `json:"id"`
	// Leaving workers take no new attempts.
	Leaving  bool              `json:"leaving,omitempty"`
	Capacity hostapi.Resources `json:"capacity"`
}

// Owned says that this VM owns the cell with a new term.
type Owned struct {
	Term int64 `json:"term"`
	// Rescue permits only moving tasks away; every attempt has certainly ended.
	Rescue bool `json:"rescue,omitempty"`
	// Predecessors counts former owners that are not known gone.
	Predecessors int `json:"predecessors"`
}

// Disowned says that a newer term of another VM is known.
type Disowned struct{}

// AuthorityChanged sets the ends of authority on the local clock.
type AuthorityChanged struct {
	// PlaceUntil is the earlier of the end of the cell's lease and the end
	// of freshness.
	PlaceUntil time.Duration `json:"placeUntil"`
	// RenewUntil is the last success of reading the claims stream up to its
	// head, measured from before the read was sent, plus the offline limit.
	RenewUntil time.Duration `json:"renewUntil"`
}

// PredecessorsChanged sets the number of former owners not known gone.
type PredecessorsChanged struct {
	Count int `json:"count"`
}

// PlacingChanged says whether the data centre is in service.
type PlacingChanged struct {
	Allowed bool `json:"allowed"`
}

// PlacementDecided asks to place a pending task. The machine ignores it if the
// task, the worker or the authority does not permit it.
type PlacementDecided struct {
	Task   string `json:"task"`
	Worker string `json:"worker"`
	// Requests is what to reserve, which can differ from the declared need; the
	// zero value stands for the declared need.
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

// Observed brings a worker's answer to Observe or Fence.
type Observed struct {
	// SentAt is the local time before the question was sent.
	SentAt time.Duration       `json:"sentAt"`
	State  hostapi.WorkerState `json:"state"`
}

// StartAnswered brings the answer to Start.
type StartAnswered struct {
	Worker string            `json:"worker"`
	ID     hostapi.AttemptID `json:"id"`
	// Refused means that the worker answered that the start had no effect.
	// An unknown outcome is not reported; the machine repeats the start.
	Refused bool `json:"refused,omitempty"`
}

// CheckpointAnswered brings the answer to Checkpoint.
type CheckpointAnswered struct {
	ID hostapi.AttemptID `json:"id"`
	// Name is the checkpoint, or "" if none could be made.
	Name string `json:"name,omitempty"`
}

// StopAnswered brings the final report that answers Stop.
type StopAnswered struct {
	Worker string          `json:"worker"`
	Boot   string          `json:"boot"`
	Report hostapi.Attempt `json:"report"`
}

// MoveOffered is another cell's offer of a task.
type MoveOffered struct {
	From *recordpb.Cell `json:"from"`
	Task string         `json:"task"`
	// Attempt is the last attempt that has ended.
	Attempt    int64  `json:"attempt"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Move       int64  `json:"move"`
	Failures   int64  `json:"failures,omitempty"`
}

// MoveConfirmed says that the target of a move has read back its adoption.
type MoveConfirmed struct {
	Task string `json:"task"`
	Move int64  `json:"move"`
}
