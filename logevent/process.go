package logevent

import "go.uber.org/zap/zapcore"

// Events of the process.
const (
	ProcessStarted  Number = 101
	ProcessReady    Number = 102
	StopRequested   Number = 103
	StopFinished    Number = 104
	StopCutOff      Number = 105
	ProcessFailed   Number = 109
	TraceIncomplete Number = 110
)

var processEvents = []Info{
	{ProcessStarted, "ProcessStarted", zapcore.InfoLevel, "process started", []string{"version", "vm", "dataCentre", "incarnation"}, "None."},
	{ProcessReady, "ProcessReady", zapcore.InfoLevel, "process is ready for requests", []string{"offset"}, "None."},
	{StopRequested, "StopRequested", zapcore.InfoLevel, "planned stop began", []string{"signal", "deadline"}, "None."},
	{StopFinished, "StopFinished", zapcore.InfoLevel, "planned stop finished without aborting a request", []string{"duration"}, "None."},
	{StopCutOff, "StopCutOff", zapcore.ErrorLevel, "planned stop ended with requests aborted", []string{"requests", "reason", "error"}, "Raise stop_deadline if this recurs; the callers see a broken connection."},
	{ProcessFailed, "ProcessFailed", zapcore.ErrorLevel, "process exits after an unrecoverable error", []string{"error"}, "Read the error; the VM can be restarted."},
	{TraceIncomplete, "TraceIncomplete", zapcore.WarnLevel, "lines of the trace were dropped", []string{"target", "lines", "error"}, "Attach a faster reader before the process starts; the trace can be replayed up to its first gap."},
}
