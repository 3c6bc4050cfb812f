package logevent

import "go.uber.org/zap/zapcore"

// Events of the process.
const (
	ProcessStarted   Number = 101
	ProcessReady     Number = 102
	StopRequested    Number = 103
	StopFinished     Number = 104
	StopCutOff       Number = 105
	ListenFailed     Number = 106
	PanicRecovered   Number = 107
	SettingsRejected Number = 108
	ProcessFailed    Number = 109
	TraceIncomplete  Number = 110
)

var processEvents = []Info{
	{ProcessStarted, "ProcessStarted", zapcore.InfoLevel, "process started", []string{"version", "vm", "dataCentre", "incarnation"}, "None."},
	{ProcessReady, "ProcessReady", zapcore.InfoLevel, "process is ready and takes requests", []string{"offset"}, "None."},
	{StopRequested, "StopRequested", zapcore.InfoLevel, "planned stop began", []string{"signal", "deadline"}, "None."},
	{StopFinished, "StopFinished", zapcore.InfoLevel, "planned stop finished with no request cut off", []string{"duration"}, "None."},
	{StopCutOff, "StopCutOff", zapcore.ErrorLevel, "planned stop ended with requests cut off", []string{"requests", "reason"}, "Raise stop_deadline if this recurs; the callers see a broken connection."},
	{ListenFailed, "ListenFailed", zapcore.ErrorLevel, "listening failed", []string{"address", "error"}, "Check that the address belongs to this VM and that no other process uses the port."},
	{PanicRecovered, "PanicRecovered", zapcore.ErrorLevel, "a request handler panicked", []string{"path", "error", "stack"}, "Report the stack as a fault."},
	{SettingsRejected, "SettingsRejected", zapcore.ErrorLevel, "settings have mistakes", []string{"mistakes"}, "Correct the keys that the event names; `cactusreel settings check` repeats the check."},
	{ProcessFailed, "ProcessFailed", zapcore.ErrorLevel, "process ends after a failure that it cannot handle", []string{"error"}, "Read the error; the VM can be restarted."},
	{TraceIncomplete, "TraceIncomplete", zapcore.WarnLevel, "lines of the trace were dropped", []string{"target", "lines", "error"}, "Attach a faster reader before the process starts; the trace can be replayed up to its first gap."},
}
