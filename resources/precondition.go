package resources

import "github.com/cactusreel/cactusreel/api"

// Precondition is evaluated at the operation's place in the log. The zero
// value always holds.
type Precondition struct {
	// MustNotExist holds if the resource does not exist.
	MustNotExist bool `json:"mustNotExist,omitempty"`
	// Version, if not 0, holds if the resource exists with this version.
	Version api.Version `json:"version,omitempty"`
}
