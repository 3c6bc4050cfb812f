package resources

import "github.com/cactusreel/cactusreel/api"

// Precondition is a condition on the current state of a resource, evaluated at
// the operation's offset in the log. The zero value always holds.
type Precondition struct {
	// MustNotExist requires that the resource does not exist.
	MustNotExist bool `json:"mustNotExist,omitempty"`
	// Version, if not 0, requires that the resource exists with this version.
	Version api.Version `json:"version,omitempty"`
}
