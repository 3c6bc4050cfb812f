package bench

import "time"

// Options configure a run of the benchmarks.
type Options struct {
	// Seeds to run; the report gives the mean and the spread over them.
	Seeds []uint64
	// Deployments to run by name; empty means all.
	Deployments []string
	// Scenarios to run by name; empty means all.
	Scenarios []string
	// Variants to run by name; empty means the policy and the baselines.
	Variants []string
	// Ablations adds variants with one rule of the policy changed: each active
	// rule disabled, and each inactive rule enabled.
	Ablations bool
	// Weights adds variants with the weights of each deployment.
	Weights bool
	// Duration of a run in virtual time; 0 means 15 minutes.
	Duration time.Duration
	// Parallel is the maximum number of concurrent runs; 0 means 1.
	Parallel int
	// PlotDir is where plots are written; "" means none.
	PlotDir string
}
