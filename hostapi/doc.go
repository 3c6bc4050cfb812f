// Package hostapi defines the interfaces of the platform services that the
// system uses: the append-only log, the list of VMs and the worker agents.
//
// A response can be lost after the request took effect. Therefore every error
// leaves the outcome unknown, except for the errors that the comments of the
// methods and Err values define as having no effect.
package hostapi
