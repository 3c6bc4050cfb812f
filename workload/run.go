package workload

import "time"

// RunID names one start of a task. The numbers of a task's runs rise from 1.
type RunID struct {
	Task TaskID
	Run  int64
}

// Outcome is how a run ended.
type Outcome int32

// Outcomes. Only Errored counts as an attempt.
const (
	// Succeeded: the task is done.
	Succeeded Outcome = iota + 1
	// Errored: the task failed, by its own fault or the worker's.
	Errored
	// Stopped by an order.
	Stopped
	// Lapsed with the worker's lease.
	Lapsed
	// MemberEnded: another member of the gang ended.
	MemberEnded
	// MembersMissing: the gang was not complete in time.
	MembersMissing
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"none", "succeeded", "errored", "stopped", "lapsed", "member ended", "members missing"}[o]
}

// ActiveRun is a worker's word on a run that it holds.
type ActiveRun struct {
	RunID
	// Checkpoint is the newest checkpoint, or "".
	Checkpoint string
	// ProgressPercent is the progress; of a long-running run 100 when it is at work.
	ProgressPercent int
	// TailLatency is the tail latency of a long-running task with a target.
	TailLatency time.Duration
	// UsedMilliCPU is the processor use of any other task.
	UsedMilliCPU int64
}

// EndedRun is a worker's word on a run that ended.
type EndedRun struct {
	RunID
	// Sequence counts the ends of one lifetime of the worker from 1.
	Sequence   int64
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's answer to a hold.
type Report struct {
	Incarnation Incarnation
	// Clock is the worker's steady clock.
	Clock time.Duration
	// Active and Ended are its runs; Ended lists only ends above the cursor.
	Active []ActiveRun
	Ended  []EndedRun
}
