package result

import (
	"errors"
	"fmt"
)

// Error is an error with a result code and a sentence that says what to mend.
type Error struct {
	Code    Code
	Message string
	// Err is the cause, or nil.
	Err error
}

// Errorf returns an Error. A %w verb in the format sets the cause.
func Errorf(code Code, format string, args ...any) *Error {
	wrapped := fmt.Errorf(format, args...)
	return &Error{Code: code, Message: wrapped.Error(), Err: errors.Unwrap(wrapped)}
}

// Error returns the name and number of the code and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code, int(e.Code), e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// CodeOf returns the code of the first Error in err's chain, OK for nil, and
// fallback if there is none.
func CodeOf(err error, fallback Code) Code {
	if err == nil {
		return OK
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return fallback
}
