package bench

import "time"

// Options of a run of the benchmarks.
type Options struct {
	// Seeds to run; the report gives the mean and the spread over them.
	Seeds []uint64
	// Deployments to run by name; empty means all.
	Deployments []string
	// Scenarios to run by name; empty means all.
	Scenarios []string
	// Variants to run by name; empty means the policy and the baselines.
	Variants []string
	// Ablations adds a run with each rule of the policy off.
	Ablations bool
	// Weights adds runs with the two weight settings exchanged.
	Weights bool
	// Duration of a run in virtual time; 0 means 15 minutes.
	Duration time.Duration
	// Parallel is how many runs take place at a time; 0 means 1.
	Parallel int
	// PlotDir is where plots are written; "" means none.
	PlotDir string
}
