// Package capacity measures on this machine what the real code costs per unit
// of load (jobs, running tasks, records, peers), at several sizes each, and
// fits a line through the sizes. docs/CAPACITY.md extrapolates from these
// slopes to the planned scale. The package is for development only.
//
// Costs are processor time of the process (user and system), not wall time, so
// that other load on the machine distorts them less.
package capacity
