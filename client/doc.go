// Package client calls the operators' HTTP interface of an entry VM.
//
// Errors are of type *result.Error. A write whose response was lost has the code
// result.WriteOutcomeUnknown; it can be retried with the same operation id. A
// write with any other code had no effect. This includes
// result.PeerUnavailable, which means that no connection to an entry VM could be
// established.
package client
