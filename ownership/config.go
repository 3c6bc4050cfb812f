package ownership

import "time"

// Slot limits of design 3.8.
const (
	// SlotsPerWorker is the number of requests that a backend server runs at a time.
	SlotsPerWorker = 8
	// ReducedSlots is the number of slots of each worker that an owner in state
	// reduced may use, and that a successor leaves unused for each previous owner
	// that is not known gone.
	ReducedSlots = 2
)

// Config holds the settings of a Machine. Durations are on the node's
// monotonic clock.
type Config struct {
	VM         string
	DataCentre string
	// Incarnation is the random number that identifies this incarnation of the
	// process.
	Incarnation uint64
	// Cells is the number of cells of the data centre.
	Cells int
	// Rescuer is set for a machine on another data centre's claims stream: it
	// neither joins nor renews, and all its claims are rescue claims.
	Rescuer bool

	// Lease is how long an ownership is valid after its claim or its last renewal
	// was sent.
	Lease time.Duration
	// RenewEvery is the interval between renewals.
	RenewEvery time.Duration
	// Drift is the maximum difference in rate between two monotonic clocks; 0.01
	// is 1%.
	Drift float64
	// MaxRequest is the maximum request time.
	MaxRequest time.Duration
	// GoneAfter is how long a VM must be missing from the VM list before it is
	// known gone.
	GoneAfter time.Duration
	// PromiseLife is how long a peer's promise not to claim is valid.
	PromiseLife time.Duration
	// AskEvery is the interval between promise requests to peers.
	AskEvery time.Duration
	// ClaimStep is the extra claim delay per rank of the VM in the cell's claim
	// order; it keeps VMs from claiming at the same time.
	ClaimStep time.Duration
	// SyncWait is how long a cell that balances the cells waits for a copy of its request
	// table at the receiver.
	SyncWait time.Duration
	// OfflineLimit and TaskLease determine when a rescuer may claim.
	OfflineLimit time.Duration
	TaskLease    time.Duration

	// Unsafe disables individual safety rules. Only tests set it, to show that a
	// schedule fails without the rule.
	Unsafe Unsafe
}

// Unsafe disables safety rules, one field per rule.
type Unsafe struct {
	// NoDriftWait claims by expiry after Lease without the margin for clock drift.
	NoDriftWait bool
	// NoExpects accepts a claim regardless of the offset that it expects.
	NoExpects bool
	// NoJoinRule claims by expiry although the VM joined after the last renewal.
	NoJoinRule bool
	// NoSlotWait uses slots immediately after a claim by expiry.
	NoSlotWait bool
	// NoPredecessors leaves no slots unused for previous owners.
	NoPredecessors bool
	// NoPromiseHold claims a cell despite a promise not to.
	NoPromiseHold bool
}

// DefaultConfig returns the settings of design section 3 for a VM.
func DefaultConfig(vm, dataCentre string, incarnation uint64, cells int) Config {
	return Config{
		VM:           vm,
		DataCentre:   dataCentre,
		Incarnation:  incarnation,
		Cells:        cells,
		Lease:        5 * time.Second,
		RenewEvery:   1500 * time.Millisecond,
		Drift:        0.01,
		MaxRequest:   5 * time.Second,
		GoneAfter:    60 * time.Second,
		PromiseLife:  3 * time.Second,
		AskEvery:     time.Second,
		ClaimStep:    300 * time.Millisecond,
		SyncWait:     20 * time.Second,
		OfflineLimit: 15 * time.Minute,
		TaskLease:    10 * time.Second,
	}
}

// withDriftMargin returns d lengthened by the drift bound: once that has elapsed on
// this clock, d has elapsed on every clock.
func (c *Config) withDriftMargin(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.Drift) + 1
}
