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
	WorkerReborn
)

// String returns the kind's name.
func (k DecisionKind) String() string {
	return [...]string{"none", "placed", "started", "refused", "ended", "lost", "stopped",
		"worker suspected", "worker trusted", "worker reborn"}[k]
}
