package trace

import (
	"time"

	"github.com/cactusreel/cactusreel/dedup"
)

// Events of a request table. Events of one run identify it by a label (Request)
// that the writer of the trace chooses.

// CellTakenOver makes the table's VM the home of the cell's ids under a new term.
// In traces it is "TookOver".
type CellTakenOver struct {
	Term     int64         `json:"term"`
	Previous int64         `json:"previous,omitempty"`
	Synced   bool          `json:"synced,omitempty"`
	Until    time.Duration `json:"until"`
}

// AuthorityExtended moves the end of the home's authority. In traces it is
// "Extended".
type AuthorityExtended struct {
	Term  int64         `json:"term"`
	Until time.Duration `json:"until"`
}

// TermObserved is a term of the cell that was read or reported. In traces it is
// "TermSeen".
type TermObserved struct {
	Term int64 `json:"term"`
}

// RequestArrived is the arrival of a request at the home. Its action is "Verdict".
// In traces it is "Arrived".
type RequestArrived struct {
	Request     string `json:"request"`
	ID          string `json:"id"`
	Fingerprint uint64 `json:"fingerprint,omitempty"`
	// Fresh means that the id was issued for this request.
	Fresh bool `json:"fresh,omitempty"`
}

// PeerAcknowledged is a peer's acknowledgement of the intent of a run.
type PeerAcknowledged struct {
	Request string `json:"request"`
	VM      string `json:"vm"`
}

// PeerNotAcknowledged reports that a peer did not acknowledge the intent of a run.
// In traces it is "PeerMissed".
type PeerNotAcknowledged struct {
	Request string `json:"request"`
	VM      string `json:"vm"`
}

// RunSending occurs just before the request of a run is sent. Its action is
// "Verdict". In traces it is "Sending".
type RunSending struct {
	Request string `json:"request"`
}

// RunEnded reports the end of a run.
type RunEnded struct {
	Request string `json:"request"`
	// How is "answer", "not-kept", "unknown" or "withdrawn".
	How    string `json:"how"`
	Status int    `json:"status,omitempty"`
	Body   string `json:"body,omitempty"`
}

// IntentReceived is the receipt of a home's intent at a peer. Its action is
// "Verdict".
type IntentReceived struct {
	Term        int64  `json:"term"`
	ID          string `json:"id"`
	Fingerprint uint64 `json:"fingerprint,omitempty"`
}

// CopyExported requests a full copy for a peer from the home. Its actions are
// "Exported".
type CopyExported struct {
	VM string `json:"vm"`
}

// CopyImported is the receipt of one part of a full copy at a peer. Its action is
// "Imported", or "Verdict" if the part is rejected.
type CopyImported struct {
	Copy dedup.Copy `json:"copy"`
}

// CopyConfirmed reports to the home that a peer has imported all parts of a copy.
type CopyConfirmed struct {
	VM     string `json:"vm"`
	Serial uint64 `json:"serial"`
}

// RenewalOffered requests the synced set for the next renewal. Its action is
// "Synced".
type RenewalOffered struct{}

// RenewalRecorded reports that a renewal was read back from the log.
type RenewalRecorded struct {
	Serial uint64 `json:"serial"`
}

// DedupEvents returns a zero value of each event of a request table.
func DedupEvents() []Event {
	return []Event{
		CellTakenOver{}, AuthorityExtended{}, TermObserved{}, RequestArrived{}, PeerAcknowledged{}, PeerNotAcknowledged{},
		RunSending{}, RunEnded{}, IntentReceived{}, CopyExported{}, CopyImported{},
		CopyConfirmed{}, RenewalOffered{}, RenewalRecorded{},
	}
}

// Type returns "TookOver".
func (CellTakenOver) Type() string { return "TookOver" }

// Type returns "Extended".
func (AuthorityExtended) Type() string { return "Extended" }

// Type returns "TermSeen".
func (TermObserved) Type() string { return "TermSeen" }

// Type returns "Arrived".
func (RequestArrived) Type() string { return "Arrived" }

// Type returns "PeerAcknowledged".
func (PeerAcknowledged) Type() string { return "PeerAcknowledged" }

// Type returns "PeerMissed".
func (PeerNotAcknowledged) Type() string { return "PeerMissed" }

// Type returns "Sending".
func (RunSending) Type() string { return "Sending" }

// Type returns "RunEnded".
func (RunEnded) Type() string { return "RunEnded" }

// Type returns "IntentReceived".
func (IntentReceived) Type() string { return "IntentReceived" }

// Type returns "CopyExported".
func (CopyExported) Type() string { return "CopyExported" }

// Type returns "CopyImported".
func (CopyImported) Type() string { return "CopyImported" }

// Type returns "CopyConfirmed".
func (CopyConfirmed) Type() string { return "CopyConfirmed" }

// Type returns "RenewalOffered".
func (RenewalOffered) Type() string { return "RenewalOffered" }

// Type returns "RenewalRecorded".
func (RenewalRecorded) Type() string { return "RenewalRecorded" }
