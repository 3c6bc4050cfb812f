package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// Times and limits that do not depend on the deployment.
const (
	// clockDrift is the maximum fraction by which a worker's clock runs slower
	// than the node's; the platform specifies 2%.
	clockDrift = 0.02
	// expiryMargin covers the rounding of worker clocks to milliseconds and the
	// delay between a worker's answer and its arrival.
	expiryMargin = 100 * time.Millisecond
	// urgentHeartbeatInterval and relaxedHeartbeatInterval batch the ended runs of
	// a busy worker into one report. Steps that callers wait for take 0.3 s and
	// more; best-effort tasks take seconds and have seconds of slack.
	urgentHeartbeatInterval  = 30 * time.Millisecond
	relaxedHeartbeatInterval = 120 * time.Millisecond
	// lateCommandTime is the time after which a command without an answer is not carried
	// out any more; the platform says that it may take seconds.
	lateCommandTime = 10 * time.Second
	// lateStartHeartbeatInterval is the interval of the heartbeats to a worker that may
	// only receive a late start.
	lateStartHeartbeatInterval = 500 * time.Millisecond
	// listTime is the time in which a new owner reads the list of workers as a rule.
	listTime = time.Second
	// heartbeatRetryDelay is the delay after a failed heartbeat.
	heartbeatRetryDelay = 150 * time.Millisecond
	// stopMargin is added to the time that a worker takes to stop a run. It covers
	// the network delay of the command and rounding.
	stopMargin = 100 * time.Millisecond
	// unhealthyPause is the time for which no runs are placed on a worker that
	// refused one because it is unhealthy, or is not the one that is meant.
	unhealthyPause = 2 * time.Second
	// appendStallTimeout is the age of an unanswered append from which planning is
	// suspended: new placements would be stale by the time they are recorded.
	appendStallTimeout = 700 * time.Millisecond
	// planInterval is the minimum time between planning rounds. It limits the CPU
	// time that planning takes.
	planInterval = 8 * time.Millisecond
	// replanInterval is the time after which a planning round runs without a
	// triggering event, because pauses end and schedules come due.
	replanInterval = 200 * time.Millisecond
	// drainingLease is the duration of the leases of a draining worker. Its runs end with it,
	// so their tasks can run again when the lease has expired, and nothing that is missing
	// from a list says that it has left. The lease outlasts two unanswered heartbeats in a row.
	drainingLease = 4 * time.Second
	// drainingHeartbeatWait limits the time between the heartbeats of a draining worker.
	drainingHeartbeatWait = time.Second
	// minStartLease is the shortest lease with which runs are placed and started: one that ends
	// before the next heartbeats would only lapse.
	minStartLease = 2 * time.Second
	// maxLeaseShortfall is by how much a lease may be shorter than the usual one because the
	// worker's last answer has not been reported to the witnesses, without being renewed once it
	// has: within reportTime as a rule.
	maxLeaseShortfall = 300 * time.Millisecond
	reportTime        = 350 * time.Millisecond
	// maxPlacements limits the placements of one planning round, so that a round
	// does not delay the events that are queued behind it.
	maxPlacements = 200
)

// CommandTimeout is the time after which the caller of a command to a worker gives up, besides
// the wait of a heartbeat. A usual answer takes one round trip of 10 ms. A call whose connection
// is not established by then is not sent.
const CommandTimeout = 700 * time.Millisecond

// Config holds the settings of a machine that depend on the deployment.
type Config struct {
	// Epoch is the fencing token of every command.
	Epoch int64
	// Lease is the duration of a worker's lease: the time for which its runs may
	// continue without a heartbeat from the owner.
	Lease time.Duration
	// HandoverLease is the duration of the leases that an owner grants when it gives the
	// cell up, at least Lease: its successor may need the store for the takeover.
	HandoverLease time.Duration
	// WorkerLeaseLimit is the duration to which workers shorten longer leases; 0 stands for
	// the longest one that an owner grants.
	WorkerLeaseLimit time.Duration
	// HeartbeatWait is the maximum time for which a worker may delay its answer to
	// a heartbeat until a run ends.
	HeartbeatWait time.Duration
	// PredecessorExpiry is the time, from the creation of the machine, after which
	// every lease that a previous owner granted has expired.
	PredecessorExpiry time.Duration
	// AuthorityDuration is the time, from the creation of the machine, after which no
	// previous owner can grant leases any more.
	AuthorityDuration time.Duration
	// LeaseLimit returns the duration of the longest lease that may be granted now. If it
	// is nil, there is no limit.
	LeaseLimit func() time.Duration
	// LeaseExpiryLimit returns the time, on the clock of the machine's steps, by which a lease
	// that is granted to a worker now must have expired, or false if there is no limit. It may
	// be nil.
	LeaseExpiryLimit func(workload.Incarnation) (time.Duration, bool)
	// EpochAge returns for how long, at least, an epoch has been open. If it is nil, or
	// returns 0, nothing is known.
	EpochAge func(epoch int64) time.Duration
	// RemoteFactor is the factor by which a task takes longer away from the rack of
	// its data or of its step.
	RemoteFactor float64
	// PlaceWait is the longest time for which a task waits for room on the rack of its data although
	// it could run elsewhere; 0 means that none waits.
	PlaceWait time.Duration
	// StopTime is the maximum time that a worker takes to stop a run. During it the
	// worker lists the run neither as active nor as ended, and the run may still
	// succeed.
	StopTime time.Duration
	// StartEarly is how long before its due time an occurrence may start.
	StartEarly time.Duration
	// MaxViewAge is the age of each view beyond which no run is placed or started, counted
	// from when its read was sent; 0 stands for no limit.
	MaxViewAge ViewAges
	// Outlook: what submissions can expect is measured, and OutlookChanged emitted.
	Outlook bool
	// Cells is the number of cells; 0 stands for one.
	Cells int
	// CellOf returns the cell of the submission with an id. It is nil if there is only
	// one cell.
	CellOf func(id string) int
}

// longestLease returns the duration of the longest lease that an owner grants.
func (c *Config) longestLease() time.Duration { return max(c.Lease, c.HandoverLease) }

// longestWorkerLease returns the duration of the longest lease that a worker takes, whatever
// deadline a call has.
func (c *Config) longestWorkerLease() time.Duration {
	if c.WorkerLeaseLimit > 0 {
		return c.WorkerLeaseLimit
	}
	return c.longestLease()
}

// grantable returns the duration of the lease that may be granted now.
func (c *Config) grantable() time.Duration {
	if c.LeaseLimit == nil {
		return c.Lease
	}
	return min(c.Lease, c.LeaseLimit())
}

// grantableLease returns the duration of the lease that a heartbeat or a start grants a worker
// now. It is 0 or less if there can be none. shortfall is by how much it is shorter because the
// worker's last answer has not been reported.
func (m *Machine) grantableLease(w *worker) (lease, shortfall time.Duration) {
	lease = w.limitLease(m.config.grantable())
	if m.config.LeaseExpiryLimit == nil {
		return lease, 0
	}
	limit, limited := m.config.LeaseExpiryLimit(w.Incarnation)
	if !limited {
		return lease, 0
	}
	reported := min(lease, w.leaseUntil(m.now, limit))
	return reported, lease - reported
}

// needsAnswer reports whether a listed worker could soon be granted no lease for a start, unless a
// newer answer of it is reported to the witnesses before.
func (m *Machine) needsAnswer(w *worker) bool {
	if !w.listed || w.leasesExpired(m.now) {
		return false
	}
	lease, shortfall := m.grantableLease(w)
	return shortfall > 0 && lease < minStartLease+reportTime
}

// limitLease returns the part of a lease that the worker may be granted.
func (w *worker) limitLease(lease time.Duration) time.Duration {
	if w.Draining {
		return min(lease, drainingLease)
	}
	return lease
}
