package trace

// Event is an event of any machine.
type Event interface {
	// Type returns the event's name in traces.
	Type() string
}
