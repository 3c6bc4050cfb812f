// Package client calls the operators' HTTP interface of an entry VM.
//
// Errors are of type *result.Error. A write whose answer was lost has the code
// result.WriteOutcomeUnknown; it can be repeated with the same operation id. A
// write with any other code had no effect, also with result.PeerUnavailable:
// then no connection to an entry VM was made.
package client
