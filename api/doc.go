// Package api defines the resources that operators declare and their status,
// decodes them from JSON and validates them.
//
// Decoding is strict: unknown, repeated and null fields are faults, sizes are
// bounded before anything is parsed, and all faults of a document are reported
// together.
package api
