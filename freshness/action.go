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

// FreshUntil says that the end of start authority has moved. It never moves back.
type FreshUntil struct {
	// End is on the local clock; nothing may start at or after it.
	End time.Duration `json:"end"`
}

// AskPeers asks peers in reachable data centres for their Word, because the
// direct reads are getting old.
type AskPeers struct{}

// FetchFrom says that a newer head is known than what has been applied:
// records from offset From on have to be read, from the log or from a peer.
type FetchFrom struct {
	From int64 `json:"from"`
}

// Type returns "FreshUntil".
func (FreshUntil) Type() string { return "FreshUntil" }

// Type returns "AskPeers".
func (AskPeers) Type() string { return "AskPeers" }

// Type returns "FetchFrom".
func (FetchFrom) Type() string { return "FetchFrom" }
