package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// Decision describes a decision for the log.
type Decision struct {
	Kind   DecisionKind
	Run    workload.RunID
	Worker string
	// Reason is what decided.
	Reason string
	// Age is how old the deciding input was.
	Age time.Duration
	// Queue, Took and Objective are those of a submission that began or ended:
	// its time since it was due, and the time that it should take.
	Queue     string
	Elapsed   time.Duration
	Objective time.Duration
}

// DecisionKind tells what was decided.
type DecisionKind int

// Kinds of decisions.
const (
	RunPlaced DecisionKind = iota + 1
	RunStarted
	RunRefused
	RunEnded
	RunLost
	RunStopped
	WorkerSuspected
	WorkerTrusted
	WorkerRestarted
	// SubmissionBegan: the first run of the submission was recorded.
	SubmissionBegan
	// SubmissionEnded: the submission is shown as completed or failed.
	SubmissionEnded
)

// String returns the kind's name.
func (k DecisionKind) String() string {
	return [...]string{"none", "placed", "started", "refused", "ended", "lost", "stopped",
		"worker suspected", "worker trusted", "worker reborn", "submission began", "submission ended"}[k]
}
