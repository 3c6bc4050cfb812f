package tasks

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// Action is an output of Machine.Step.
type Action interface {
	// Type returns the action's name in traces.
	Type() string
}

// Actions returns a zero value of each action type, for decoding traces.
func Actions() []Action {
	return []Action{
		Append{}, Fence{}, Observe{}, Start{}, Renew{}, Checkpoint{}, Stop{},
		Forget{}, OfferMove{}, ConfirmMove{}, SnapshotDue{},
	}
}

// Append asks for a record to be appended to the task stream. The writer
// retries with the same id until the record has been read back, and keeps the
// order of the records of one machine.
type Append struct {
	Record *recordpb.Record `json:"record"`
}

// Fence raises the lowest term that a worker accepts commands from. The answer
// arrives as Observed.
type Fence struct {
	Worker string `json:"worker"`
	Term   int64  `json:"term"`
}

// Observe asks for a worker's state. The answer arrives as Observed.
type Observe struct {
	Worker string `json:"worker"`
}

// Start asks a worker to run an attempt. The answer arrives as StartAnswered.
type Start struct {
	Worker string        `json:"worker"`
	Start  hostapi.Start `json:"start"`
}

// Renew extends the leases of attempts on a worker. It needs no answer.
type Renew struct {
	Worker   string            `json:"worker"`
	Command  hostapi.Command   `json:"command"`
	Renewals []hostapi.Renewal `json:"renewals"`
}

// Checkpoint asks a worker to checkpoint an attempt. The answer arrives as
// CheckpointAnswered.
type Checkpoint struct {
	Worker  string            `json:"worker"`
	Command hostapi.Command   `json:"command"`
	ID      hostapi.AttemptID `json:"id"`
}

// Stop asks a worker to stop an attempt. The answer arrives as StopAnswered.
type Stop struct {
	Worker  string            `json:"worker"`
	Command hostapi.Command   `json:"command"`
	ID      hostapi.AttemptID `json:"id"`
}

// Forget asks a worker to drop its report of an ended attempt, after the Ended
// record has been read back. It needs no answer.
type Forget struct {
	Worker  string            `json:"worker"`
	Command hostapi.Command   `json:"command"`
	ID      hostapi.AttemptID `json:"id"`
}

// OfferMove offers a task to the owner of the cell To. It is retried until
// MoveConfirmed arrives.
type OfferMove struct {
	To *recordpb.Cell `json:"to"`
	// Offer is the event to deliver there.
	Offer MoveOffered `json:"offer"`
}

// ConfirmMove notifies the owner of the cell To that an offered task was adopted.
type ConfirmMove struct {
	To *recordpb.Cell `json:"to"`
	// Confirmed is the event to deliver there.
	Confirmed MoveConfirmed `json:"confirmed"`
}

// SnapshotDue asks for a snapshot of the machine to be appended to the stream.
type SnapshotDue struct{}
