package proxy

import "time"

// EventKind names an event.
type EventKind string

// Kinds of events.
const (
	// EventFinished is the end of a caller's or peer's request.
	EventFinished EventKind = "finished"
	// EventResponseHead is a response head from a backend server in a cell of
	// this VM. Duration is the time since the request was sent.
	EventResponseHead EventKind = "head"
	// EventRetried is a second or later send of a request.
	EventRetried EventKind = "retried"
	// EventHedged is a second send of a request that is still in progress.
	EventHedged EventKind = "hedged"
	// EventProgressTimeout is a connection that was closed because no byte
	// arrived within the progress timeout.
	EventProgressTimeout EventKind = "silent"
	// EventTruncated is a response that ended early; the connection to the
	// caller was aborted.
	EventTruncated EventKind = "truncated"
	// EventNotConnected is a connection that could not be established.
	EventNotConnected EventKind = "not-connected"
	// EventNotRun is a response in which a backend server or peer reports that
	// it did not run the request.
	EventNotRun EventKind = "not-run"
	// EventLeaving is a response in which a backend server reports for the first
	// time that it is leaving.
	EventLeaving EventKind = "leaving"
	// EventMissedAcknowledgement is an intent that a peer did not acknowledge.
	EventMissedAcknowledgement EventKind = "missed-acknowledgement"
	// EventLoop is a request that was rejected because it came back to a VM that
	// had forwarded it, or took too many hops.
	EventLoop EventKind = "loop"
)

// EventKinds lists all kinds of events.
func EventKinds() []EventKind {
	return []EventKind{
		EventFinished,
		EventResponseHead,
		EventRetried,
		EventHedged,
		EventProgressTimeout,
		EventTruncated,
		EventNotConnected,
		EventNotRun,
		EventLeaving,
		EventMissedAcknowledgement,
		EventLoop,
	}
}

// Event is an occurrence on the request path for logs and metrics.
type Event struct {
	Kind    EventKind
	Service string
	// Target is the address of the server or the VM id of the peer, or "".
	Target string
	// Code is the result code of a finished request.
	Code int
	// Duration is set for EventFinished and EventResponseHead.
	Duration time.Duration
	Err      error
}
