package settings

import "time"

// Times holds the time settings of the [times] section.
type Times struct {
	// OwnerLease is the time for which an owner holds its cells after a renewal.
	OwnerLease time.Duration
	// OwnerRenewal is the interval between renewals of the cells owned.
	OwnerRenewal time.Duration
	// ClockDrift is the largest relative drift of any two clocks, for example 0.01.
	ClockDrift float64
	// Freshness is the greatest age of the newest known configuration at which tasks are started.
	Freshness time.Duration
	// LogPoll is the interval between reads of the log's head.
	LogPoll time.Duration
	// LogTimeout bounds one request to the log.
	LogTimeout time.Duration
	// LogRetention is the time for which the log keeps a record.
	LogRetention time.Duration
	// WriteWait bounds the time between an operator's write and its read-back.
	WriteWait time.Duration
	// TaskLease is the lease of a running task on its worker's clock.
	TaskLease time.Duration
	// TaskRenewal is the interval between renewals of task leases.
	TaskRenewal time.Duration
	// FinishedJobs is the time for which a finished job is kept.
	FinishedJobs time.Duration
	// OfflineTasks bounds the renewal of task leases without the log.
	OfflineTasks time.Duration
	// KnownGone is the time after which a VM missing from the VM list no longer runs.
	KnownGone time.Duration
	// Promise is the time for which a peer's promise not to claim vouches for an owner.
	Promise time.Duration
	// MaxRequest bounds a request from its arrival to its last byte.
	MaxRequest time.Duration
	// Progress bounds the time without a byte while bytes are due.
	Progress time.Duration
	// RequestIDRetention is the time for which request ids and kept responses are held.
	RequestIDRetention time.Duration
	// PeerTimeout bounds one request to a peer.
	PeerTimeout time.Duration
	// WorkerTimeout bounds one request to a worker agent.
	WorkerTimeout time.Duration
	// WorkerPoll is the interval between observations of a worker.
	WorkerPoll time.Duration
	// LeavingPoll is the interval between reads of the VM list and of a backend server's health.
	LeavingPoll time.Duration
	// BalancerDelay is the time that the platform's balancer needs to stop sending requests.
	BalancerDelay time.Duration
	// StopDeadline bounds a planned stop.
	StopDeadline time.Duration
}
