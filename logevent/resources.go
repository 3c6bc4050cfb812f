package logevent

import "go.uber.org/zap/zapcore"

// Events of resources.
const (
	OperationAccepted     Number = 501
	OperationRefused      Number = 502
	OperationUnknown      Number = 503
	SnapshotWritten       Number = 504
	SnapshotIgnored       Number = 505
	SnapshotAdopted       Number = 506
	RecordUndecodable     Number = 507
	DataCentreTakenOut    Number = 509
	DataCentreBroughtBack Number = 510
	RecordsMissing        Number = 511
)

var resourceEvents = []Info{
	{OperationAccepted, "OperationAccepted", zapcore.InfoLevel, "operation took effect", []string{"operation", "verb", "kind", "resource", "version"}, "None."},
	{OperationRefused, "OperationRefused", zapcore.InfoLevel, "operation had no effect", []string{"operation", "verb", "kind", "resource", "code", "reason"}, "None; the operator received the reason."},
	{OperationUnknown, "OperationUnknown", zapcore.WarnLevel, "operation was sent to the log and not read back in time", []string{"operation", "verb", "kind", "resource"}, "The operator can retry with the same operation id."},
	{SnapshotWritten, "SnapshotWritten", zapcore.InfoLevel, "snapshot appended to the log", []string{"stream", "offset", "chunks", "bytes"}, "None."},
	{SnapshotIgnored, "SnapshotIgnored", zapcore.WarnLevel, "snapshot is incomplete or damaged and was ignored", []string{"stream", "offset", "error"}, "None; an older snapshot is used."},
	{SnapshotAdopted, "SnapshotAdopted", zapcore.InfoLevel, "snapshot adopted", []string{"stream", "offset", "source"}, "None."},
	{RecordUndecodable, "RecordUndecodable", zapcore.ErrorLevel, "record cannot be decoded and was skipped", []string{"stream", "offset", "error"}, "Check that all entry VMs run the same version."},
	{DataCentreTakenOut, "DataCentreTakenOut", zapcore.WarnLevel, "data centre is out of service", []string{"dataCentre", "version"}, "None."},
	{DataCentreBroughtBack, "DataCentreBroughtBack", zapcore.InfoLevel, "data centre is in service", []string{"dataCentre", "version"}, "None."},
	{RecordsMissing, "RecordsMissing", zapcore.ErrorLevel, "log no longer holds records that were not read", []string{"stream", "have", "first"}, "None if a snapshot is adopted next; otherwise check the retention of the log."},
}
