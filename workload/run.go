package workload

import "time"

// RunID identifies one run (execution attempt) of a task. The runs of a task are
// numbered from 1 in ascending order.
type RunID struct {
	Task TaskID
	Run  int64
}

// Outcome is how a run ended.
type Outcome int32

// Outcomes of a run. Only Errored counts against the attempt limit of a task.
const (
	// Succeeded: the run completed the task.
	Succeeded Outcome = iota + 1
	// Errored: the task failed, because of an error of its own or of the worker.
	Errored
	// Stopped: the worker carried out a stop command.
	Stopped
	// Lapsed: the worker ended the run because its lease expired.
	Lapsed
	// MemberEnded: another member of the gang ended.
	MemberEnded
	// MembersMissing: not all members of the gang started in time.
	MembersMissing
	// LastOutcome is the highest outcome.
	LastOutcome = MembersMissing
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"none", "succeeded", "errored", "stopped", "lapsed", "member ended", "members missing"}[o]
}

// ActiveRun is a worker's status report on a run that is active there.
type ActiveRun struct {
	RunID
	// Checkpoint is the newest checkpoint, or "" if there is none.
	Checkpoint string
	// ProgressPercent is the progress; a long-running run reports 100 once it is
	// in service.
	ProgressPercent int
	// TailLatency is the tail latency of a long-running task with a latency target.
	TailLatency time.Duration
	// UsedMilliCPU is the CPU usage of any other task.
	UsedMilliCPU int64
}

// EndedRun is a worker's report of a run that ended.
type EndedRun struct {
	RunID
	// Sequence numbers the ended runs of one incarnation of the worker from 1.
	Sequence   int64
	Outcome    Outcome
	Checkpoint string
}

// Report is a worker's response to a heartbeat.
type Report struct {
	Incarnation Incarnation
	// Clock is the reading of the worker's monotonic clock.
	Clock time.Duration
	// Active and Ended are the worker's runs. Ended lists only the runs whose
	// sequence is above the acknowledged cursor.
	Active []ActiveRun
	Ended  []EndedRun
	// EndsIncomplete: the worker may have ends after the last of Ended, so a run in neither
	// list may have ended.
	EndsIncomplete bool
	// ConnectionEnded: the worker ended the connection with its response. A command on a new
	// connection may reach its next incarnation, which has the same id.
	ConnectionEnded bool
}
