package logevent

import "go.uber.org/zap/zapcore"

// Events of tasks and placement.
const (
	TaskPlaced          Number = 301
	TaskEnded           Number = 303
	TaskEvicting        Number = 304
	TaskMoved           Number = 305
	TaskAdopted         Number = 306
	StartRejected       Number = 307
	CommandRejected     Number = 308
	JobParked           Number = 310
	StartsSuspended     Number = 311
	StartsResumed       Number = 312
	OfflineLimitReached Number = 315
	TaskThrottled       Number = 316
	CapacityExceeded    Number = 317
)

var taskEvents = []Info{
	{TaskPlaced, "TaskPlaced", zapcore.DebugLevel, "task placed", []string{"task", "attempt", "worker"}, "None."},
	{TaskEnded, "TaskEnded", zapcore.DebugLevel, "attempt ended", []string{"task", "attempt", "state", "reason"}, "None."},
	{TaskEvicting, "TaskEvicting", zapcore.InfoLevel, "eviction of a task began", []string{"task", "attempt", "worker", "reason"}, "None."},
	{TaskMoved, "TaskMoved", zapcore.InfoLevel, "task moved to another cell", []string{"task", "attempt", "to", "moveNumber"}, "None."},
	{TaskAdopted, "TaskAdopted", zapcore.InfoLevel, "task adopted from another cell", []string{"task", "attempt", "from", "moveNumber"}, "None."},
	{StartRejected, "StartRejected", zapcore.WarnLevel, "worker rejected a start", []string{"task", "attempt", "worker", "reason"}, "None; if it recurs on one worker, check that worker."},
	{CommandRejected, "CommandRejected", zapcore.WarnLevel, "worker rejected a command about an attempt", []string{"command", "task", "attempt", "worker", "reason"}, "None; if it recurs on one worker, check that worker."},
	{JobParked, "JobParked", zapcore.WarnLevel, "job parked after failures on several workers", []string{"job", "reason"}, "Correct the job and apply it again."},
	{StartsSuspended, "StartsSuspended", zapcore.WarnLevel, "no task is started because the configuration is too old", []string{"age", "bound"}, "Check the connection to the log."},
	{StartsResumed, "StartsResumed", zapcore.InfoLevel, "tasks are started again", []string{"duration"}, "None."},
	{OfflineLimitReached, "OfflineLimitReached", zapcore.ErrorLevel, "task leases are no longer renewed because the log was unreachable for too long", []string{"cell", "tasks"}, "Restore the connection to the log."},
	{TaskThrottled, "TaskThrottled", zapcore.InfoLevel, "task throttled", []string{"task", "attempt", "worker", "share", "reason"}, "None."},
	{CapacityExceeded, "CapacityExceeded", zapcore.ErrorLevel, "a worker reports more work than its capacity", []string{"worker", "reported", "capacity"}, "Report as a fault (invariant I1)."},
}
