package resources

// EventType is the kind of change in an Event.
type EventType string

// Event types.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
)
