package scheduler

import "time"

// defaultNearlyDone is the default of Config.NearlyDone. Progress reports lag, so
// it is lower than the progress that counts as nearly done.
const defaultNearlyDone = 0.85

// Config holds the settings of a Policy.
type Config struct {
	// Rules are the enabled rules.
	Rules Rules
	// SampleSize is how many workers with enough free capacity are scored for one
	// task.
	SampleSize int
	// NearlyDone is the progress from which an attempt is not evicted.
	NearlyDone float64
	// EscalationDelay is the least time between two escalation steps on the same
	// worker. It must exceed the lag of usage reports.
	EscalationDelay time.Duration
	// RampTime is how long a returning data centre takes to reach full load.
	RampTime time.Duration
	// AgeLimit is the time pending from which an ordinary task is placed before
	// all other ordinary tasks.
	AgeLimit time.Duration
	// MaxRetries limits the retries of a task that declares no limit.
	MaxRetries int
}

// DefaultConfig returns the default settings.
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
