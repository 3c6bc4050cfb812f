// Package trace defines the format of recorded traces: one JSON document per
// line, bounded in size, with comments that begin with "#".
//
// A trace holds header lines (a machine and its configuration), event lines (an
// input of the machine and its time), outcome lines (the state and the actions
// expected at that time) and lines that count lines which the recorder dropped.
// docs/traces.md describes the format; package replay runs traces through the
// decision code.
package trace
