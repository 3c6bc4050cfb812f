package result

import (
	"errors"
	"fmt"
)

// Error is an error with a result code and a message that says what is wrong.
type Error struct {
	Code    Code
	Message string
	// Err is the cause, or nil.
	Err error
}

// Errorf returns an Error with a formatted message. The operand of a %w verb in
// the format becomes the cause.
func Errorf(code Code, format string, args ...any) *Error {
	wrapped := fmt.Errorf(format, args...)
	return &Error{Code: code, Message: wrapped.Error(), Err: errors.Unwrap(wrapped)}
}

// Error returns the code's name and number, followed by the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code, int(e.Code), e.Message)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error {
	return e.Err
}

// CodeOf returns the code of the first Error in err's chain. It returns OK if
// err is nil, and fallback if the chain contains no Error.
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
