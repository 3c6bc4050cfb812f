// Package trace defines the format of recorded traces: one JSON document a
// line, bounded in size, with comments that begin with "#".
//
// A trace holds header lines (a machine and its configuration), event lines
// (what the machine was given, and when), outcome lines (what must hold then)
// and notes of a recorder that had to drop lines. docs/traces.md describes the
// format; package replay runs traces through the decision code.
package trace
