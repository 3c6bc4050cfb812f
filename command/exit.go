package command

import (
	"errors"
	"fmt"
)

// Exit codes.
const (
	ExitOK             = 0
	ExitFailed         = 1 // refused or failed
	ExitUsage          = 2 // wrong usage or invalid settings
	ExitCutOff         = 3 // stopped and cut off requests in progress
	ExitOutcomeUnknown = 4 // outcome unknown
)

// ExitError is an error with an exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the message of the wrapped error.
func (e *ExitError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("exit code %d", e.Code)
	}
	return e.Err.Error()
}

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error {
	return e.Err
}

// ExitCode returns the exit code for an error of a subcommand.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var exitErr *ExitError
	if errors.As(err, &exitErr) {
		return exitErr.Code
	}
	return ExitFailed
}
