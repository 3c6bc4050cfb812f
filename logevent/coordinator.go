package logevent

import "go.uber.org/zap/zapcore"

// Events of the coordinator.
const (
	SubmissionAccepted   Number = 801
	SubmissionRejected   Number = 802
	SubmissionRepeated   Number = 803
	SubmissionCancelled  Number = 804
	SubmissionEnded      Number = 805
	EpochOpened          Number = 811
	EpochNotOpened       Number = 812
	EpochEnded           Number = 813
	EpochFenced          Number = 814
	GroupCallFailed      Number = 815
	GroupRegained        Number = 816
	FormerOwnerResigned  Number = 817
	FollowFailed         Number = 821
	LogExpired           Number = 822
	BadLedgerRecord      Number = 823
	AppendRepeated       Number = 824
	DirectoryLost        Number = 825
	DeclarationsLost     Number = 826
	DeclarationsRegained Number = 827
	SnapshotFailed       Number = 828
	ManifestAdopted      Number = 831
	EvacuationChanged    Number = 832
	BadPlatformEntry     Number = 833
	SettingsReloaded     Number = 834
	DispatchDecision     Number = 841
	OrderUnanswered      Number = 842
	LinesDropped         Number = 851
)

var coordinatorEvents = []Info{
	{SubmissionAccepted, "SubmissionAccepted", zapcore.InfoLevel, "submission is stored", []string{"id", "queue", "duration"}, "None."},
	{SubmissionRejected, "SubmissionRejected", zapcore.WarnLevel, "submission was not confirmed as stored", []string{"id", "queue", "duration", "error"}, "Look for events 815 and 824 of the same time: the log did not answer."},
	{SubmissionRepeated, "SubmissionRepeated", zapcore.InfoLevel, "submission was already stored", []string{"id", "queue"}, "None."},
	{SubmissionCancelled, "SubmissionCancelled", zapcore.InfoLevel, "submission was cancelled", []string{"id", "error"}, "With an error: as for event 802."},
	{SubmissionEnded, "SubmissionEnded", zapcore.InfoLevel, "submission is shown as completed or failed", []string{"id", "queue", "state", "epoch", "took", "objective"}, "None."},
	{EpochOpened, "EpochOpened", zapcore.InfoLevel, "this VM owns the cell", []string{"cell", "epoch", "live"}, "None."},
	{EpochNotOpened, "EpochNotOpened", zapcore.WarnLevel, "the cell is assigned but could not be opened", []string{"cell", "error"}, "Look at the log's health if it recurs."},
	{EpochEnded, "EpochEnded", zapcore.InfoLevel, "this VM no longer owns the cell", []string{"cell", "epoch", "reason", "duration"}, "None."},
	{EpochFenced, "EpochFenced", zapcore.WarnLevel, "another VM has opened a higher epoch", []string{"epoch", "worker"}, "None; frequent changes point to a flapping link or a slow VM."},
	{GroupCallFailed, "GroupCallFailed", zapcore.WarnLevel, "group call failed", []string{"error"}, "Look at the link to the platform's store."},
	{GroupRegained, "GroupRegained", zapcore.InfoLevel, "group call succeeds again", nil, "None."},
	{FormerOwnerResigned, "FormerOwnerResigned", zapcore.InfoLevel, "former owner of the cell gives no orders any more", []string{"vm", "epoch"}, "None."},
	{FollowFailed, "FollowFailed", zapcore.WarnLevel, "cell streams could not be read", []string{"cell", "error"}, "Look at the link to the platform's store."},
	{LogExpired, "LogExpired", zapcore.WarnLevel, "records expired before they were read", []string{"topic", "from", "first"}, "Expected at the first read of an old stream; otherwise the VM was cut off for longer than the log keeps records."},
	{BadLedgerRecord, "BadLedgerRecord", zapcore.ErrorLevel, "record could not be decoded or encoded", []string{"cell", "error"}, "Check the versions of the program on all VMs."},
	{AppendRepeated, "AppendRepeated", zapcore.WarnLevel, "append had no usable answer and is repeated", []string{"cell", "records", "error"}, "Look at the link to the platform's store."},
	{DirectoryLost, "DirectoryLost", zapcore.WarnLevel, "list of workers could not be read", []string{"error"}, "Look at the link to the platform's store."},
	{DeclarationsLost, "DeclarationsLost", zapcore.WarnLevel, "declarations could not be read", []string{"error"}, "Look at the link to the platform's store."},
	{DeclarationsRegained, "DeclarationsRegained", zapcore.InfoLevel, "declarations are read again", nil, "None."},
	{SnapshotFailed, "SnapshotFailed", zapcore.WarnLevel, "snapshot of a cell could not be written or read", []string{"cell", "error"}, "Look at the link to the platform's store. A takeover without a snapshot reads all records."},
	{ManifestAdopted, "ManifestAdopted", zapcore.InfoLevel, "manifest is in force on this VM", []string{"version", "queues"}, "None."},
	{EvacuationChanged, "EvacuationChanged", zapcore.InfoLevel, "set of evacuated data centres", []string{"dataCentres"}, "None."},
	{BadPlatformEntry, "BadPlatformEntry", zapcore.WarnLevel, "entry of the platform's store is malformed and names nothing", []string{"key", "error"}, "Find out who wrote the entry."},
	{SettingsReloaded, "SettingsReloaded", zapcore.InfoLevel, "settings file was read again", []string{"error"}, "With an error: mend the file; the former settings stay in force."},
	{DispatchDecision, "DispatchDecision", zapcore.InfoLevel, "decision on a run or a worker", []string{"decision", "task", "run", "worker", "reason", "age", "epoch"}, "None."},
	{OrderUnanswered, "OrderUnanswered", zapcore.WarnLevel, "order to a worker had no usable answer", []string{"worker", "order", "error"}, "None for single ones; look at the worker if they recur."},
	{LinesDropped, "LinesDropped", zapcore.WarnLevel, "log lines were dropped", []string{"lines"}, "Read the log faster, or raise the budget of lines."},
}
