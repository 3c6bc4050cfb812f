// Package bench measures the placement policy in virtual time against fake
// workers. The fake holds properties that the policy can't observe directly:
// which pairs of kinds interfere, true sizes and run times, faulty workers and
// jobs that can't succeed. The policy gets only delayed, noisy usage reports and
// outcomes. The fake is not a full cluster simulator: it models only what the
// decisions depend on.
//
// The package is for development only. All randomness comes from the seeds in
// Options.
package bench
