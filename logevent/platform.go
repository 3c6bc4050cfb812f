package logevent

import "go.uber.org/zap/zapcore"

// Events of the platform.
const (
	LogUnavailable    Number = 701
	LogAvailable      Number = 702
	RecordNotQueued   Number = 703
	VMListStale       Number = 704
	VMListRead        Number = 705
	WorkerUnreachable Number = 706
	WorkerReachable   Number = 707
	WorkerRestarted   Number = 708
	VMAppeared        Number = 709
	VMDisappeared     Number = 710
)

var platformEvents = []Info{
	{LogUnavailable, "LogUnavailable", zapcore.ErrorLevel, "log cannot be reached", []string{"stream", "error"}, "Check the log; running tasks and requests continue."},
	{LogAvailable, "LogAvailable", zapcore.InfoLevel, "log can be reached again", []string{"stream", "duration"}, "None."},
	{RecordNotQueued, "RecordNotQueued", zapcore.WarnLevel, "record was not queued for the log and is not retried", []string{"stream", "error"}, "Check the connection to the log. The state machine appends another record when it still needs one."},
	{VMListStale, "VMListStale", zapcore.WarnLevel, "VM list has not been read for too long", []string{"age", "error"}, "Check the VM list."},
	{VMListRead, "VMListRead", zapcore.InfoLevel, "VM list can be read again", []string{"duration"}, "None."},
	{WorkerUnreachable, "WorkerUnreachable", zapcore.WarnLevel, "worker agent does not answer", []string{"worker", "error"}, "Check the worker."},
	{WorkerReachable, "WorkerReachable", zapcore.InfoLevel, "worker agent answers again", []string{"worker", "duration"}, "None."},
	{WorkerRestarted, "WorkerRestarted", zapcore.InfoLevel, "worker has another boot id", []string{"worker", "boot", "attempts"}, "None."},
	{VMAppeared, "VMAppeared", zapcore.InfoLevel, "VM appeared in the VM list", []string{"vm", "role", "dataCentre"}, "None."},
	{VMDisappeared, "VMDisappeared", zapcore.InfoLevel, "VM disappeared from the VM list", []string{"vm", "role", "dataCentre"}, "None."},
}
