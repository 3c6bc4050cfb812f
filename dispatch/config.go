package dispatch

import "time"

// Times and limits that do not depend on the deployment.
const (
	// clockDrift bounds how much slower a worker's clock runs than the node's;
	// it is stated by the platform (2%).
	clockDrift = 0.02
	// lapseMargin covers rounding of worker clocks to milliseconds and the
	// delay between a worker's answer and its arrival.
	lapseMargin = 100 * time.Millisecond
	// urgentSpacing and relaxedSpacing group the ends of a busy worker into one
	// report. Steps that callers wait for take 0.3 s and more; best-effort tasks
	// take seconds and have seconds of slack.
	urgentSpacing  = 30 * time.Millisecond
	relaxedSpacing = 120 * time.Millisecond
	// holdRetry is the pause after a hold without an answer.
	holdRetry = 150 * time.Millisecond
	// stopMargin is added to the time that a worker takes to stop a run, for
	// the way of the order and rounding.
	stopMargin = 100 * time.Millisecond
	// refusedPause keeps new runs off a worker that refused one as unhealthy.
	refusedPause = 2 * time.Second
	// stalledAppend stops planning when the log has not answered for so long:
	// the decisions would be stale when it does.
	stalledAppend = 700 * time.Millisecond
	// planInterval bounds how often tasks are placed, for the processor time.
	planInterval = 8 * time.Millisecond
	// replanInterval is how often tasks are placed without a cause: pauses end
	// and schedules come due.
	replanInterval = 200 * time.Millisecond
	// maxBatch bounds the placements of one planning round, so that one round
	// does not delay the answers that wait behind it.
	maxBatch = 200
)

// Config holds the figures of the deployment.
type Config struct {
	// Epoch is the fencing token on every order.
	Epoch int64
	// Lease is how long a worker may run without hearing from its owner.
	Lease time.Duration
	// HeartbeatWait is how long a worker may delay its answer to a hold until a run ends.
	HeartbeatWait time.Duration
	// PredecessorExpiry is the time after which every lease that an earlier
	// owner gave has lapsed.
	PredecessorExpiry time.Duration
	// RemoteFactor is how much longer a task takes away from its data or its
	// step's rack.
	RemoteFactor float64
	// StopTime is how long a worker takes to stop a run. Meanwhile it lists the
	// run neither as active nor as ended, and the run may still end as done.
	StopTime time.Duration
	// StartEarly is how much earlier than due an occurrence may start.
	StartEarly time.Duration
}
