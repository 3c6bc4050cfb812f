package scheduler

import "time"

// defaultNearlyDone is the default of Config.NearlyDone. Reports lag, so it lies below
// what counts as nearly done.
const defaultNearlyDone = 0.85

// Config holds the settings of the policy.
type Config struct {
	// Rules in force.
	Rules Rules
	// SampleSize is how many workers with room are scored for one task.
	SampleSize int
	// NearlyDone is the progress from which an attempt is not evicted.
	NearlyDone float64
	// EscalationDelay is the time between two steps against the same worker's
	// load. It must exceed the lag of usage reports.
	EscalationDelay time.Duration
	// RampTime is how long a returning data centre takes to reach full load.
	RampTime time.Duration
	// AgeLimit is the age at which an ordinary task goes before all other
	// ordinary tasks.
	AgeLimit time.Duration
	// MaxRetries bounds the failed attempts of a task that states no bound.
	MaxRetries int
}

// DefaultConfig returns the settings in use.
func DefaultConfig() Config {
	return Config{
		Rules:           DefaultRules,
		SampleSize:      16,
		NearlyDone:      defaultNearlyDone,
		EscalationDelay: 6 * time.Second,
		RampTime:        30 * time.Second,
		AgeLimit:        5 * time.Minute,
		MaxRetries:      5,
	}
}
