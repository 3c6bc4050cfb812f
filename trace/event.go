package trace

// Event is an event of a machine of any kind.
type Event interface {
	// Type returns the event's name in traces.
	Type() string
}
