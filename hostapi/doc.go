// Package hostapi defines what the system uses of the platform: the
// append-only log, the list of VMs and the worker agents.
//
// Implementations must assume that an answer can be lost after the request
// took effect: every error but those named in a method's comment leaves the
// outcome unknown.
package hostapi
