package command

import (
	"errors"
	"fmt"
)

// Exit codes.
const (
	ExitOK             = 0
	ExitFailed         = 1 // refused or failed
	ExitUsage          = 2 // usage or bad settings
	ExitCutOff         = 3 // stopped with requests cut off
	ExitOutcomeUnknown = 4 // outcome unknown
)

// ExitError is an error with an exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the text of the cause.
func (e *ExitError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("exit code %d", e.Code)
	}
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error {
	return e.Err
}

// ExitCode returns the exit code for an error of a subcommand.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailed
}
