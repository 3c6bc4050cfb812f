package operator

import "github.com/cactusreel/cactusreel/api"

// WriteResult is the body of the response to a write that took effect.
type WriteResult struct {
	Operation string   `json:"operation"`
	Kind      api.Kind `json:"kind"`
	Name      string   `json:"name"`
	// Version is the resource's new version; 0 if it was deleted.
	Version api.Version `json:"version"`
	// Duplicate is true if an earlier operation with the same id had this outcome.
	Duplicate bool `json:"duplicate,omitempty"`
}
