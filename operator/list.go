package operator

import "github.com/cactusreel/cactusreel/api"

// List is the body of the response to a list request.
type List struct {
	Kind api.Kind `json:"kind"`
	// Version is the version to watch from.
	Version api.Version    `json:"version"`
	Items   []api.Resource `json:"items"`
}
