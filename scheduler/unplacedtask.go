package scheduler

import "time"

// Verdict is why a task was not placed.
type Verdict int

// Verdicts on tasks that were not placed.
const (
	// Waiting tasks are considered again in the next round.
	Waiting Verdict = iota
	// Backoff tasks wait for their next retry.
	Backoff
	// Parked tasks belong to a job that has always failed and is not run again as
	// it is.
	Parked
	// Exhausted tasks have used all their retries.
	Exhausted
)

// UnplacedTask is a task that was not placed in a round, with the reason.
type UnplacedTask struct {
	Task    string
	Verdict Verdict
	// Until is when a Backoff task is tried again.
	Until time.Duration
	// MoveTo is a cell that suits the task better, or nil.
	MoveTo *CellID
	// Reason is the text for the task's condition.
	Reason string
}
