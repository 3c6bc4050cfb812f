package resources

import "github.com/cactusreel/cactusreel/api"

// EventType tells what happened to a resource.
type EventType string

// Event types.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
)

// Event is one change of one resource.
type Event struct {
	Type EventType `json:"type"`
	// Version is the offset of the record that made the change.
	Version api.Version `json:"version"`
	// Resource is the resource after a put, or as it last was for a delete.
	// It must not be modified.
	Resource *api.Resource `json:"resource"`
}
