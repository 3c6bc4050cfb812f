package ownership

import "github.com/cactusreel/cactusreel/record/recordpb"

// Event is an input of Machine.Step.
type Event interface {
	// Type returns the event's name in traces.
	Type() string
}

// Events returns a zero value of each event type, for decoding traces.
func Events() []Event {
	return []Event{
		Tick{}, Applied{}, VMsListed{}, PromiseAsked{}, PromiseAnswered{},
		NewerTermReported{}, SyncedChanged{}, CellDrained{}, StopRequested{},
	}
}

// Tick advances the time. The daemon sends one at least every 100 ms.
type Tick struct{}

// Applied delivers one record of the claims stream. Records arrive in offset
// order without gaps, each offset once; the first may have any offset.
type Applied struct {
	Offset int64            `json:"offset"`
	Record *recordpb.Record `json:"record"`
}

// VMsListed delivers a response of the platform's VM list: the ids of all entry
// VMs that it lists for the data centre, live or leaving. In traces it is "Listed".
type VMsListed struct {
	VMs []string `json:"vms"`
}

// PromiseAsked is a peer's request to promise not to claim its cells.
type PromiseAsked struct {
	From string `json:"from"`
	// Number identifies the request; the answer repeats it.
	Number uint64     `json:"number"`
	Cells  []CellTerm `json:"cells"`
}

// PromiseAnswered is a peer's answer to AskPromises.
type PromiseAnswered struct {
	From   string `json:"from"`
	Number uint64 `json:"number"`
	// Granted lists the cells that the peer promises not to claim.
	Granted []int `json:"granted"`
	// Newer lists the newer terms that the peer has read.
	Newer []CellTerm `json:"newer,omitempty"`
}

// NewerTermReported reports that a peer or a worker has seen a newer term of a
// cell.
type NewerTermReported struct {
	Cell int   `json:"cell"`
	Term int64 `json:"term"`
}

// SyncedChanged sets the VMs that hold a full copy of this VM's request table.
// The next renewal records it.
type SyncedChanged struct {
	VMs []string `json:"vms"`
}

// CellDrained reports that this VM's last request on the cell has ended. It is
// the response to Drain.
type CellDrained struct {
	Cell int `json:"cell"`
}

// StopRequested starts the planned stop: cells are drained and released, then
// the machine leaves.
type StopRequested struct{}

// CellTerm identifies one ownership of a cell.
type CellTerm struct {
	Cell int   `json:"cell"`
	Term int64 `json:"term"`
}

// Type returns "Tick".
func (Tick) Type() string { return "Tick" }

// Type returns "Applied".
func (Applied) Type() string { return "Applied" }

// Type returns "Listed".
func (VMsListed) Type() string { return "Listed" }

// Type returns "PromiseAsked".
func (PromiseAsked) Type() string { return "PromiseAsked" }

// Type returns "PromiseAnswered".
func (PromiseAnswered) Type() string { return "PromiseAnswered" }

// Type returns "NewerTermReported".
func (NewerTermReported) Type() string { return "NewerTermReported" }

// Type returns "SyncedChanged".
func (SyncedChanged) Type() string { return "SyncedChanged" }

// Type returns "CellDrained".
func (CellDrained) Type() string { return "CellDrained" }

// Type returns "StopRequested".
func (StopRequested) Type() string { return "StopRequested" }
