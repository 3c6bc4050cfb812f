package resources

import (
	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/result"
)

// Outcome is the result of an operation, the same at every reader of the log.
type Outcome struct {
	ID string `json:"id"`
	// Offset is the offset of the record that decided the operation.
	Offset int64 `json:"offset"`
	// Code is result.OK if the operation took effect; otherwise it had none.
	Code result.Code `json:"code"`
	// Message says why the operation had no effect.
	Message string `json:"message,omitempty"`
	// Version is the resource's version after the operation; 0 if it does not exist.
	Version api.Version `json:"version,omitempty"`
	// Duplicate is true if the outcome is that of an earlier operation with the same id.
	Duplicate bool `json:"-"`
}

// Err returns nil if the operation took effect, else a *result.Error.
func (o Outcome) Err() error {
	if o.Code == result.OK {
		return nil
	}
	return &result.Error{Code: o.Code, Message: o.Message}
}
