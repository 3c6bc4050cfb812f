package tasks

import "time"

// Config holds the settings of a Machine. Durations are on the node's
// monotonic clock.
type Config struct {
	VM         string
	DataCentre string
	Cell       int

	// Lease is the duration of a task lease; RenewEvery is the interval of its
	// renewal.
	Lease      time.Duration
	RenewEvery time.Duration
	// Drift is the maximum difference in rate between two monotonic clocks; 0.01
	// is 1%.
	Drift float64
	// OfflineLimit is how long an owner keeps renewing leases while it cannot
	// read the log.
	OfflineLimit time.Duration
	// ObserveEvery is the interval of polling each worker for its state.
	ObserveEvery time.Duration
	// RetryEvery is the retry interval of an unanswered command or offer.
	RetryEvery time.Duration
	// CheckpointLimit bounds the wait for the checkpoint of an eviction. After
	// it the attempt is stopped, and the next one resumes from the last recorded
	// checkpoint.
	CheckpointLimit time.Duration
	// SnapshotRecords is the number of records after which the next snapshot is
	// due.
	SnapshotRecords int

	// Unsafe disables individual safety rules. Only tests set it, to show that a
	// schedule fails without the rule.
	Unsafe Unsafe
}

// Unsafe disables safety rules, one field per rule.
type Unsafe struct {
	// NoStartDeadline sends starts without a deadline.
	NoStartDeadline bool
	// NoTermFence applies records of lower terms after a higher Open.
	NoTermFence bool
	// NoEndedFirst places the next attempt before the Ended record of the last
	// one.
	NoEndedFirst bool
	// NoAdoptOnce adopts a move again each time it is offered.
	NoAdoptOnce bool
	// NoLeaseDrift ends a lease without the margin for clock drift.
	NoLeaseDrift bool
	// NoPredecessorWait ends the attempts on unreachable workers one lease after
	// a takeover, even if a previous owner may still renew them.
	NoPredecessorWait bool
	// NoTakeOut starts tasks while the data centre is taken out.
	NoTakeOut bool
}

// DefaultConfig returns the default settings (design section 3) for a cell.
func DefaultConfig(vm, dataCentre string, cell int) Config {
	return Config{
		VM:              vm,
		DataCentre:      dataCentre,
		Cell:            cell,
		Lease:           10 * time.Second,
		RenewEvery:      3 * time.Second,
		Drift:           0.01,
		OfflineLimit:    15 * time.Minute,
		ObserveEvery:    500 * time.Millisecond,
		RetryEvery:      time.Second,
		CheckpointLimit: 10 * time.Second,
		SnapshotRecords: 2000,
	}
}

// withDriftMargin returns d lengthened by the drift bound: once the result has
// passed on this clock, d has passed on every clock.
func (c *Config) withDriftMargin(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.Drift) + 1
}

// lessDriftMargin returns d shortened by the drift bound: when the result has
// passed on another clock, at most d has passed on this one.
func (c *Config) lessDriftMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + c.Drift))
}
