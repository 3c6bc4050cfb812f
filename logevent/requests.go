package logevent

import "go.uber.org/zap/zapcore"

// Events of the request path.
const (
	RequestRejected   Number = 401
	OutcomeUnknown    Number = 402
	ProgressTimeout   Number = 403
	ResponseTruncated Number = 404
	ServerLeaving     Number = 405
)

var requestEvents = []Info{
	{RequestRejected, "RequestRejected", zapcore.DebugLevel, "request rejected before it ran", []string{"service", "code", "reason"}, "None."},
	{OutcomeUnknown, "OutcomeUnknown", zapcore.WarnLevel, "outcome of a non-idempotent request is unknown", []string{"service", "duration"}, "The caller can retry with the same request id."},
	{ProgressTimeout, "ProgressTimeout", zapcore.InfoLevel, "connection closed because no byte arrived in time", []string{"service", "worker"}, "None; if it recurs on one worker, check its network."},
	{ResponseTruncated, "ResponseTruncated", zapcore.WarnLevel, "backend server ended a response early", []string{"service", "worker"}, "Check the backend server."},
	{ServerLeaving, "ServerLeaving", zapcore.InfoLevel, "backend server is leaving and receives no new work", []string{"worker", "source"}, "None."},
}
