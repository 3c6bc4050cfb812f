// Package capacity measures on the local machine what the daemon's code costs per
// unit of load (jobs, running tasks, records, peers). It measures each cost at
// several sizes and fits a line. docs/CAPACITY.md extrapolates from the slopes to
// the planned scale. The package is for development only.
//
// Costs are processor time of the process (user and system), not wall time, so
// that other load on the machine distorts them less.
package capacity
