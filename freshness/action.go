package freshness

import "time"

// Action is an output of Machine.Step.
type Action interface {
	// Type returns the action's name in traces.
	Type() string
}

// Actions returns a zero value of each action type, for decoding traces.
func Actions() []Action {
	return []Action{FreshUntil{}, AskPeers{}, FetchFrom{}}
}

// FreshUntil reports that the end of the start authority has moved. It never moves
// back.
type FreshUntil struct {
	// End is on the local clock; no task may start at or after it.
	End time.Duration `json:"end"`
}

// AskPeers requests a Report from peers in reachable data centres, because the
// last direct read is getting old.
type AskPeers struct{}

// FetchFrom reports that a head newer than the applied records has been observed:
// the records from offset From on must be read, from the log or from a peer.
type FetchFrom struct {
	From int64 `json:"from"`
}

// Type returns "FreshUntil".
func (FreshUntil) Type() string { return "FreshUntil" }

// Type returns "AskPeers".
func (AskPeers) Type() string { return "AskPeers" }

// Type returns "FetchFrom".
func (FetchFrom) Type() string { return "FetchFrom" }
