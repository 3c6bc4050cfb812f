package freshness

import "time"

// Event is an input of Machine.Step.
type Event interface {
	// Type returns the event's name in traces.
	Type() string
}

// Events returns a zero value of each event type, for decoding traces.
func Events() []Event {
	return []Event{Tick{}, DirectRead{}, PeerReport{}, Applied{}}
}

// Tick advances the time.
type Tick struct{}

// DirectRead is a successful read of the head of the resources stream.
type DirectRead struct {
	// SentAt is the local time just before the read was sent.
	SentAt time.Duration `json:"sentAt"`
	// Head is the offset of the newest record, 0 if there is none.
	Head int64 `json:"head"`
}

// PeerReport is a peer's answer to AskPeers. In traces it is "PeerWord".
type PeerReport struct {
	Peer string `json:"peer"`
	// AskedAt is the local time just before the request was sent.
	AskedAt time.Duration `json:"askedAt"`
	// Head and Age are the peer's Report when it answered, on its own clock.
	Head int64         `json:"head"`
	Age  time.Duration `json:"age"`
}

// Applied reports that all records of the resources stream up to Offset have been
// applied.
type Applied struct {
	Offset int64 `json:"offset"`
}

// Type returns "Tick".
func (Tick) Type() string { return "Tick" }

// Type returns "DirectRead".
func (DirectRead) Type() string { return "DirectRead" }

// Type returns "PeerWord".
func (PeerReport) Type() string { return "PeerWord" }

// Type returns "Applied".
func (Applied) Type() string { return "Applied" }
