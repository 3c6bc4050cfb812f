// Package result defines the numbered result codes that the system returns to
// callers, operators and peers.
//
// A code tells whether something ran. Codes whose name begins with NotRun are
// returned only when the request certainly had no effect; OutcomeUnknown codes
// are returned when it may have had one. No code path turns the second kind
// into the first.
package result
