package resources

// EventType tells what happened to a resource.
type EventType string

// Event types.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
)
