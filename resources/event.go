package resources

import "github.com/cactusreel/cactusreel/api"

// Event is one change of one resource.
type Event struct {
	Type EventType `json:"type"`
	// Version is the offset of the record that made the change.
	Version api.Version `json:"version"`
	// Resource is the state of the resource after a put or before a delete. It
	// must not be modified.
	Resource *api.Resource `json:"resource"`
}
