package operator

import (
	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/result"
)

// Failure is the body of a response with a code other than result.OK.
type Failure struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Message string      `json:"message"`
	// Operation is the id to repeat the operation with, for writes.
	Operation string `json:"operation,omitempty"`
	// Version is the resource's current version if a write was rejected.
	Version api.Version `json:"version,omitempty"`
}
