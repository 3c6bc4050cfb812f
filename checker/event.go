package checker

import "time"

// EventType names what was observed.
type EventType string

// Event types with the fields that they use beside At and Type.
const (
	// WorkerSeen: Worker, DataCentre, Capacity, Slots, Connections.
	WorkerSeen EventType = "worker-seen"
	// WorkerLost: Worker. All attempts, runs and connections of the worker ended.
	WorkerLost EventType = "worker-lost"
	// AttemptStarted: Worker, Task, Attempt, Requests, Checkpoint.
	AttemptStarted EventType = "attempt-started"
	// AttemptEnded: Worker, Task, Attempt, Outcome, Checkpoint (the newest).
	AttemptEnded EventType = "attempt-ended"
	// RunStarted: Worker, Request, Run. A backend server started to execute a
	// request.
	RunStarted EventType = "run-started"
	// RunEnded: Worker, Request, Run.
	RunEnded EventType = "run-ended"
	// ConnectionOpened: Worker.
	ConnectionOpened EventType = "connection-opened"
	// ConnectionClosed: Worker.
	ConnectionClosed EventType = "connection-closed"
	// ServerLeaving: Worker. The server or the platform's list reported that it is
	// leaving.
	ServerLeaving EventType = "server-leaving"
	// RequestSent: Caller, VM, Request, Sequence, Idempotent.
	RequestSent EventType = "request-sent"
	// RequestAnswered: Caller, Request, Sequence, Result, Complete, Answer,
	// Expected (what the backend server computes for this request).
	RequestAnswered EventType = "request-answered"
	// TaskAccepted: Task. The submission was confirmed to the operator.
	TaskAccepted EventType = "task-accepted"
	// TaskCancelled: Task.
	TaskCancelled EventType = "task-cancelled"
	// TakenOut: DataCentre. The take-out was confirmed to the operator.
	TakenOut EventType = "taken-out"
	// BroughtBack: DataCentre. The bring-back was sent.
	BroughtBack EventType = "brought-back"
	// ConfigurationAccepted: Version.
	ConfigurationAccepted EventType = "configuration-accepted"
	// ConfigurationInForce: VM, Version. The VM has applied this version.
	ConfigurationInForce EventType = "configuration-in-force"
	// VMStarted: VM. The VM's process is ready.
	VMStarted EventType = "vm-started"
	// VMLost: VM. The process was killed or is partitioned from all others.
	VMLost EventType = "vm-lost"
	// StopRequested: VM.
	StopRequested EventType = "stop-requested"
	// StopFinished: VM, ExitCode.
	StopFinished EventType = "stop-finished"
	// HistoryEnd: the observation ended with all work finished.
	HistoryEnd EventType = "history-end"
)

// Outcome is how an attempt ended at the worker.
type Outcome string

// Outcomes.
const (
	Completed Outcome = "completed"
	Failed    Outcome = "failed"
	Stopped   Outcome = "stopped"
	Expired   Outcome = "expired"
)

// Result is the result of a request that the caller received.
type Result string

// Results.
const (
	Answered       Result = "answered"
	NotRun         Result = "not-run"
	OutcomeUnknown Result = "outcome-unknown"
	// AlreadyRan means that the request ran and that its answer was not kept.
	AlreadyRan Result = "already-ran"
	// NoAnswer means that the caller's connection broke.
	NoAnswer Result = "no-answer"
)

// Resources is the capacity of a worker or the request of a task.
type Resources struct {
	MilliCPU     int64 `json:"milliCPU,omitempty"`
	MemoryMiB    int64 `json:"memoryMiB,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Event is one observation. Which fields are set depends on its type.
type Event struct {
	// At is on the observer's clock, in nanoseconds.
	At          time.Duration `json:"at"`
	Type        EventType     `json:"type"`
	Worker      string        `json:"worker,omitempty"`
	DataCentre  string        `json:"dataCentre,omitempty"`
	VM          string        `json:"vm,omitempty"`
	Task        string        `json:"task,omitempty"`
	Attempt     int64         `json:"attempt,omitempty"`
	Outcome     Outcome       `json:"outcome,omitempty"`
	Checkpoint  string        `json:"checkpoint,omitempty"`
	Requests    Resources     `json:"requests,omitzero"`
	Capacity    Resources     `json:"capacity,omitzero"`
	Slots       int           `json:"slots,omitempty"`
	Connections int           `json:"connections,omitempty"`
	Caller      string        `json:"caller,omitempty"`
	Request     string        `json:"request,omitempty"`
	// Sequence identifies a try among those of its caller.
	Sequence int64 `json:"sequence,omitempty"`
	// Run identifies an execution of a request on its worker.
	Run        int64  `json:"run,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Result     Result `json:"result,omitempty"`
	Complete   bool   `json:"complete,omitempty"`
	Answer     string `json:"answer,omitempty"`
	Expected   string `json:"expected,omitempty"`
	Version    int64  `json:"version,omitempty"`
	ExitCode   int    `json:"exitCode,omitempty"`
}
