package settings

import "time"

// Times holds the time settings of the [times] section.
type Times struct {
	// OwnerLease is the time for which an owner holds its cells after a renewal.
	OwnerLease time.Duration
	// OwnerRenewal is the interval between renewals of the cells owned.
	OwnerRenewal time.Duration
	// ClockDrift is the maximum difference in rate between two monotonic clocks; 0.01 is 1%.
	ClockDrift float64
	// Freshness is the maximum age of the applied configuration at which tasks are started.
	Freshness time.Duration
	// LogPoll is the interval between reads of the log's head.
	LogPoll time.Duration
	// LogTimeout is the timeout of one request to the log or the VM list.
	LogTimeout time.Duration
	// LogRetention is the time for which the log keeps a record.
	LogRetention time.Duration
	// WriteWait is the maximum time between an operator's write and its read-back from the log.
	WriteWait time.Duration
	// TaskLease is the lease of a running task on its worker's clock.
	TaskLease time.Duration
	// TaskRenewal is the interval between renewals of task leases.
	TaskRenewal time.Duration
	// FinishedJobs is the time for which a finished job is kept.
	FinishedJobs time.Duration
	// OfflineTasks is the maximum time for which task leases are renewed without the log.
	OfflineTasks time.Duration
	// KnownGone is the time after which a VM missing from the VM list is known to have stopped.
	KnownGone time.Duration
	// Promise is the time for which a peer's promise not to claim a cell is valid.
	Promise time.Duration
	// MaxRequest is the maximum duration of a request from its arrival to its last byte.
	MaxRequest time.Duration
	// Progress is the maximum time without a byte while bytes are due.
	Progress time.Duration
	// RequestIDRetention is the time for which request ids and kept responses are held.
	RequestIDRetention time.Duration
	// PeerTimeout is the timeout of one request to a peer.
	PeerTimeout time.Duration
	// WorkerTimeout is the timeout of one request to a worker agent.
	WorkerTimeout time.Duration
	// WorkerPoll is the interval between reads of a worker's state.
	WorkerPoll time.Duration
	// LeavingPoll is the interval between reads of the VM list and of a backend server's health.
	LeavingPoll time.Duration
	// BalancerDelay is the time that the platform's load balancer needs to stop sending requests to a VM that is not ready.
	BalancerDelay time.Duration
	// StopDeadline is the maximum duration of a planned stop.
	StopDeadline time.Duration
}
