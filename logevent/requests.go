package logevent

import "go.uber.org/zap/zapcore"

// Events of the request path.
const (
	RequestRejected   Number = 401
	OutcomeUnknown    Number = 402
	ProgressTimeout   Number = 403
	ResponseTruncated Number = 404
	ServerLeaving     Number = 405
	ServerSlow        Number = 406
	OverloadBegan     Number = 407
	OverloadEnded     Number = 408
	RetryBudgetSpent  Number = 409
	SyncedPeerDropped Number = 410
	RequestTableFull  Number = 411
	LateResponse      Number = 412
)

var requestEvents = []Info{
	{RequestRejected, "RequestRejected", zapcore.DebugLevel, "request rejected before it ran", []string{"service", "code", "reason"}, "None."},
	{OutcomeUnknown, "OutcomeUnknown", zapcore.WarnLevel, "outcome of a non-idempotent request is unknown", []string{"service", "requestId", "reason"}, "The caller repeats with the same request id."},
	{ProgressTimeout, "ProgressTimeout", zapcore.InfoLevel, "connection closed because no byte arrived in time", []string{"service", "worker", "phase"}, "None; if it recurs on one worker, check its network."},
	{ResponseTruncated, "ResponseTruncated", zapcore.WarnLevel, "backend server ended a response early", []string{"service", "worker", "bytes", "expected"}, "Check the backend server."},
	{ServerLeaving, "ServerLeaving", zapcore.InfoLevel, "backend server is leaving and receives no new work", []string{"worker", "boot", "source"}, "None."},
	{ServerSlow, "ServerSlow", zapcore.InfoLevel, "backend server is slow and is avoided", []string{"worker", "latency", "median"}, "None."},
	{OverloadBegan, "OverloadBegan", zapcore.WarnLevel, "requests are rejected early", []string{"service", "inProgress", "limit"}, "Raise the replicas of the service or lower the load."},
	{OverloadEnded, "OverloadEnded", zapcore.InfoLevel, "requests are no longer rejected early", []string{"service", "rejected", "duration"}, "None."},
	{RetryBudgetSpent, "RetryBudgetSpent", zapcore.WarnLevel, "retry budget is spent", []string{"service"}, "Check the backend servers of the service."},
	{SyncedPeerDropped, "SyncedPeerDropped", zapcore.WarnLevel, "peer no longer acknowledges request ids", []string{"cell", "peer"}, "Check the peer."},
	{RequestTableFull, "RequestTableFull", zapcore.WarnLevel, "table of request ids is full", []string{"cell", "entries"}, "Raise request_table_entries or lower request_id_retention."},
	{LateResponse, "LateResponse", zapcore.InfoLevel, "response arrived after its request had ended and was dropped", []string{"service", "worker"}, "None."},
}
