// Package result defines the numbered result codes that the system returns to
// callers, operators and peers.
//
// A code states whether a request took effect. Codes whose name begins with
// NotRun are returned only if the request certainly had no effect. Codes whose
// name ends in OutcomeUnknown are returned if it may have taken effect. No code
// path converts the second kind into the first.
package result
