package resources

import (
	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/result"
)

// Outcome is the result of an operation. It is the same at every reader of the log.
type Outcome struct {
	ID string `json:"id"`
	// Offset is the offset of the record that contains the operation.
	Offset int64 `json:"offset"`
	// Code is result.OK if the operation took effect. Any other code means that
	// it had no effect.
	Code result.Code `json:"code"`
	// Message is the reason why the operation had no effect.
	Message string `json:"message,omitempty"`
	// Version is the resource's version after the operation, or 0 if the
	// resource does not exist.
	Version api.Version `json:"version,omitempty"`
	// Duplicate is true if the outcome is that of an earlier operation with the same id.
	Duplicate bool `json:"-"`
}

// Err returns nil if the operation took effect, otherwise a *result.Error.
func (o Outcome) Err() error {
	if o.Code == result.OK {
		return nil
	}
	return &result.Error{Code: o.Code, Message: o.Message}
}
