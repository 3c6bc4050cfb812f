package logevent

import "go.uber.org/zap/zapcore"

// Events of the coordinator.
const (
	SubmissionAccepted   Number = 801
	SubmissionRejected   Number = 802
	SubmissionRepeated   Number = 803
	SubmissionCancelled  Number = 804
	SubmissionEnded      Number = 805
	SubmissionOverdue    Number = 806
	LargestFavoured      Number = 807
	EpochOpened          Number = 811
	EpochNotOpened       Number = 812
	EpochEnded           Number = 813
	EpochFenced          Number = 814
	GroupCallFailed      Number = 815
	GroupRegained        Number = 816
	FormerOwnerResigned  Number = 817
	CellPanicked         Number = 818
	FollowFailed         Number = 821
	LogExpired           Number = 822
	BadLedgerRecord      Number = 823
	AppendRepeated       Number = 824
	DirectoryLost        Number = 825
	DeclarationsLost     Number = 826
	DeclarationsRegained Number = 827
	SnapshotFailed       Number = 828
	CellRefused          Number = 829
	OlderSnapshotForm    Number = 830
	ManifestAdopted      Number = 831
	EvacuationChanged    Number = 832
	BadPlatformEntry     Number = 833
	SettingsReloaded     Number = 834
	DispatchDecision     Number = 841
	OrderUnanswered      Number = 842
	TaskWaiting          Number = 843
	TaskReleased         Number = 844
	LeasesAwaited        Number = 845
	TaskGivenUp          Number = 846
	WorkerCrashed        Number = 847
	OwnershipEndLearned  Number = 848
	OwnerSaturated       Number = 849
	ViewExpired          Number = 850
	LinesDropped         Number = 851
	ViewRenewed          Number = 852
	FinalRunLeft         Number = 853
	UnknownRunListed     Number = 854
	OwnerBehind          Number = 855
	InterruptionLong     Number = 857
	InterruptionEnded    Number = 858
	OwnerConfirmed       Number = 859
	LeasesReported       Number = 870
	RunDisplaced         Number = 864
	RoomReported         Number = 865
	ServingReported      Number = 866
	TargetMissed         Number = 868
	TargetMissEnded      Number = 869
	AdmissionChanged     Number = 871
	SubmissionTurnedAway Number = 872
	OrderWithheld        Number = 873
	PiecesReported       Number = 874
	TakeoverTimed        Number = 876
	EpochContested       Number = 877
	AppendMisplaced      Number = 878
	TenantKeysChanged    Number = 880
	TenantCapsChanged    Number = 881
	CallsRefused         Number = 882
	ManifestExpired      Number = 883
	ManifestRenewed      Number = 884
	CapsChanged          Number = 885
	ClientsClosed        Number = 895
	PassingBegan         Number = 890
	PassingEnded         Number = 891
	PassFailed           Number = 892
	GatheringBegan       Number = 893
	GatheringEnded       Number = 894
	IDInUse              Number = 899
)

var coordinatorEvents = []Info{
	{SubmissionAccepted, "SubmissionAccepted", zapcore.InfoLevel, "submission is stored", []string{"id", "queue", "duration"}, "None."},
	{SubmissionRejected, "SubmissionRejected", zapcore.WarnLevel, "submission was not confirmed as stored", []string{"id", "queue", "duration", "error"}, "Check events 815 and 824 around the same time: the log did not answer."},
	{SubmissionRepeated, "SubmissionRepeated", zapcore.InfoLevel, "submission was already stored", []string{"id", "queue"}, "None."},
	{IDInUse, "IDInUse", zapcore.WarnLevel, "submission was refused, because another one has its id; it has not run", []string{"id", "queue", "duration"}, "Find the other submission by its id in events 801 and 805. The caller has to choose another id."},
	{SubmissionCancelled, "SubmissionCancelled", zapcore.InfoLevel, "submission was cancelled", []string{"id", "cell", "error"}, "With an error: as for event 802."},
	{SubmissionEnded, "SubmissionEnded", zapcore.InfoLevel, "submission completed or failed", []string{"id", "queue", "tenant", "state", "epoch", "took", "objective", "size", "work", "served", "times"}, "None."},
	{SubmissionOverdue, "SubmissionOverdue", zapcore.InfoLevel, "submission has not ended within three times its objective", []string{"id", "queue", "tenant", "size", "work", "started", "epoch", "age", "objective", "times"}, "None. If it is more frequent among the largest submissions of a queue, look at the workers' free CPU and memory against the tasks of these."},
	{LargestFavoured, "LargestFavoured", zapcore.WarnLevel, "largest submissions of a queue are placed first, because they are served less often than the others", []string{"queue", "reason", "epoch", "cell"}, "None; if it recurs, add workers with enough free CPU and memory for the largest tasks. Event 806 names the submissions."},
	{EpochOpened, "EpochOpened", zapcore.InfoLevel, "this VM became the owner of the cell", []string{"cell", "epoch", "generation", "offset", "live", "snapshot", "expired"}, "None. The offset is that of the record which the log confirmed: two VMs with one epoch or one offset are two owners, which must not be. The state was read from the snapshot that covers the records before the offset in snapshot, and from the log's records since; expired counts records that this process found in neither."},
	{EpochNotOpened, "EpochNotOpened", zapcore.WarnLevel, "cell is assigned to this VM but its epoch could not be opened", []string{"cell", "error"}, "If it recurs, check the health of the log."},
	{EpochEnded, "EpochEnded", zapcore.InfoLevel, "this VM no longer owns the cell", []string{"cell", "epoch", "reason", "duration", "placements", "sincePlaced", "handOver"}, "None. sincePlaced is the time from the last placement to the end of the decisions, handOver the time from then on until a successor is told."},
	{EpochFenced, "EpochFenced", zapcore.WarnLevel, "another VM has opened a higher epoch", []string{"epoch", "worker"}, "None; if it recurs, look for an unstable network link or a slow VM."},
	{EpochContested, "EpochContested", zapcore.InfoLevel, "another VM has opened an epoch of the cell, or the one that this VM attempted to open; this VM asks the group whether the cell is still assigned to it", []string{"cell", "epoch"}, "Expected when cells are dealt anew; if it recurs without that, look for an unstable network link or a slow VM."},
	{AppendMisplaced, "AppendMisplaced", zapcore.ErrorLevel, "the log's answer to an append of the owner names another offset than the next one of the cell; the ownership ends", []string{"cell", "epoch", "expected", "end"}, "Look for another VM with the same epoch in events 811, and for VMs of an earlier version."},
	{GroupCallFailed, "GroupCallFailed", zapcore.WarnLevel, "call to the membership group failed", []string{"error"}, "Check the connection to the platform's store."},
	{GroupRegained, "GroupRegained", zapcore.InfoLevel, "call to the membership group succeeds again", nil, "None."},
	{FormerOwnerResigned, "FormerOwnerResigned", zapcore.InfoLevel, "former owner of the cell stopped sending orders", []string{"vm", "epoch"}, "None."},
	{CellPanicked, "CellPanicked", zapcore.ErrorLevel, "handling of a cell's state panicked; the record is skipped or the epoch ends", []string{"cell", "error", "stack"}, "Report the stack. The process goes on; the cell is opened again from the log."},
	{FollowFailed, "FollowFailed", zapcore.WarnLevel, "owners of the cells could not be read from the register", []string{"error"}, "Check the connection to the platform's store."},
	{LogExpired, "LogExpired", zapcore.WarnLevel, "records expired before they were read", []string{"topic", "from", "first"}, "Expected at the first read of an old stream; otherwise the VM was disconnected from the log for longer than the log keeps records."},
	{BadLedgerRecord, "BadLedgerRecord", zapcore.ErrorLevel, "record could not be decoded or encoded", []string{"cell", "key", "error"}, "Check that all VMs run the same version."},
	{AppendRepeated, "AppendRepeated", zapcore.WarnLevel, "append got no usable response and is retried", []string{"cell", "records", "error"}, "Check the connection to the platform's store."},
	{DirectoryLost, "DirectoryLost", zapcore.WarnLevel, "list of workers could not be read", []string{"error"}, "Check the connection to the platform's store."},
	{DeclarationsLost, "DeclarationsLost", zapcore.WarnLevel, "declarations could not be read", []string{"error"}, "Check the connection to the platform's store."},
	{DeclarationsRegained, "DeclarationsRegained", zapcore.InfoLevel, "declarations can be read again", nil, "None."},
	{SnapshotFailed, "SnapshotFailed", zapcore.WarnLevel, "snapshot of a cell could not be written or read", []string{"cell", "error"}, "Check the connection to the platform's store. A takeover without a snapshot reads all records."},
	{CellRefused, "CellRefused", zapcore.ErrorLevel, "cell has a record or snapshot that this version doesn't read, or lacks records that only an unreadable snapshot has; the VM leaves the cell to others", []string{"cell", "error", "duration"}, "The VM tries again after duration. If a VM of a later version is to own the cell, none. Otherwise start one of the version that wrote the record or snapshot."},
	{OlderSnapshotForm, "OlderSnapshotForm", zapcore.InfoLevel, "snapshots of more than one append are also written in the form of earlier versions, for VMs that don't state which formats they read", []string{"cell", "epoch", "vm"}, "None while an upgrade is under way. It takes more of the store, and of each takeover, until no such VM has called the owner for a minute. The VM unnamed is of a version that doesn't name itself."},
	{ManifestAdopted, "ManifestAdopted", zapcore.InfoLevel, "manifest took effect on this VM", []string{"version", "queues"}, "None."},
	{EvacuationChanged, "EvacuationChanged", zapcore.InfoLevel, "set of evacuated data centres changed", []string{"dataCentres"}, "None."},
	{BadPlatformEntry, "BadPlatformEntry", zapcore.WarnLevel, "malformed entry of the platform's store was ignored", []string{"key", "error"}, "Find out who wrote the entry."},
	{SettingsReloaded, "SettingsReloaded", zapcore.InfoLevel, "settings file was checked; the settings of the start stay in effect", []string{"error"}, "Restart the process to apply changes. With an error: correct the file first."},
	{DispatchDecision, "DispatchDecision", zapcore.InfoLevel, "dispatch decision on a run or a worker", []string{"decision", "task", "run", "worker", "reason", "age", "epoch"}, "None."},
	{OrderUnanswered, "OrderUnanswered", zapcore.WarnLevel, "order to a worker got no usable response", []string{"worker", "order", "error"}, "None; if it recurs on one worker, check that worker."},
	{TaskWaiting, "TaskWaiting", zapcore.WarnLevel, "a task has waited for a run for longer than its kind should", []string{"task", "run", "worker", "age", "reason", "epoch", "cell"}, "The reason counts the workers by why they do not take the task, and says how many are full because of room that no active run uses, and what holds it, and how many would have room without their finite runs: these are displaced. Add capacity if they are full; report it if the task fits or is overtaken."},
	{TaskReleased, "TaskReleased", zapcore.WarnLevel, "tasks are given to another cell, because the workers of their own are full", []string{"task", "run", "worker", "age", "reason", "epoch", "cell"}, "None; the owner of the other cell logs the placement. If it recurs, use fewer cells or add capacity."},
	{LeasesAwaited, "LeasesAwaited", zapcore.WarnLevel, "tasks of silent workers are not started elsewhere until their leases have expired", []string{"worker", "age", "reason", "epoch", "cell"}, "Check the workers and the network. The reason says how long the wait goes on and whether a previous owner granted the lease."},
	{TaskGivenUp, "TaskGivenUp", zapcore.WarnLevel, "a task is not run again, because workers crashed under it", []string{"task", "run", "worker", "reason", "epoch", "cell"}, "Correct the task and submit it again. Event 847 names the crashes."},
	{WorkerCrashed, "WorkerCrashed", zapcore.WarnLevel, "a worker crashed", []string{"task", "run", "worker", "reason", "age", "epoch", "cell"}, "If the crash is evidence against a task, see event 846. If crashes recur that are not, check the worker."},
	{OwnershipEndLearned, "OwnershipEndLearned", zapcore.InfoLevel, "told which leases remained at the end of an ownership", []string{"cell", "epoch", "leases"}, "None."},
	{OwnerSaturated, "OwnerSaturated", zapcore.WarnLevel, "planning takes longer than the owner has time for; work is placed less often", []string{"cell", "epoch", "duration"}, "If it recurs, use VMs with more CPU or more cells."},
	{ViewExpired, "ViewExpired", zapcore.WarnLevel, "a view is too old to decide about starts; the owner starts nothing until it is read again", []string{"cell", "epoch", "view", "age"}, "Check the connection to the platform's store. Without events 825 or 826 at the same time, check the CPU of the VM."},
	{LinesDropped, "LinesDropped", zapcore.WarnLevel, "log lines were dropped", []string{"lines"}, "Read the log faster, or raise lines_per_second."},
	{ViewRenewed, "ViewRenewed", zapcore.InfoLevel, "a view that was too old has been read again", []string{"cell", "epoch", "view", "age"}, "None."},
	{FinalRunLeft, "FinalRunLeft", zapcore.WarnLevel, "a run is left although its submission is cancelled or otherwise final", []string{"task", "run", "worker", "reason", "age", "epoch", "cell"}, "The reason says why the run has not been stopped. Check the worker and the network to it; if no stop was requested, report it."},
	{UnknownRunListed, "UnknownRunListed", zapcore.WarnLevel, "a worker lists a run that the owner does not have; the run is stopped", []string{"task", "run", "worker", "reason", "age", "epoch", "cell"}, "Expected after a takeover and after orders that arrive late. If it recurs for a run, check that worker."},
	{OwnerBehind, "OwnerBehind", zapcore.WarnLevel, "events waited long in the owner's queue", []string{"cell", "epoch", "source", "duration"}, "If it recurs, use VMs with more CPU or more cells."},
	{InterruptionLong, "InterruptionLong", zapcore.WarnLevel, "long-running task has had no run for longer than it may", []string{"task", "run", "worker", "age", "reason", "epoch", "cell"}, "Run and worker are the last ones. The reason says how that run ended, what the task has waited for since, and what it waits for now."},
	{InterruptionEnded, "InterruptionEnded", zapcore.WarnLevel, "long-running task runs again after a long time without a run", []string{"task", "run", "worker", "age", "reason", "epoch", "cell"}, "The reason says how the last run ended and for what the task has waited. For the lease of a worker: check the worker and the network."},
	{OwnerConfirmed, "OwnerConfirmed", zapcore.InfoLevel, "a majority of the previous owner's witnesses said when they last confirmed it", []string{"cell", "vm", "epoch", "age"}, "None; check why the VM does not answer if it was not stopped."},
	{LeasesReported, "LeasesReported", zapcore.InfoLevel, "a witness of the previous owner told when the workers' leases have expired", []string{"cell", "vm", "epoch", "workers", "duration"}, "None. The duration is the time until the last of them has expired. Without this event beside event 859, the leases are waited for from the owner's last confirmation on: check whether all nodes have a version that keeps reports of leases."},
	{RunDisplaced, "RunDisplaced", zapcore.WarnLevel, "run is stopped to make room for a long-running task", []string{"task", "run", "worker", "age", "work", "reason", "epoch", "cell"}, "The reason names the task that needs the room, and the new worker if a long-running run is moved; work is what is lost, in seconds of a core. If it recurs, the workers are too few for the long-running tasks beside the finite ones: add capacity."},
	{RoomReported, "RoomReported", zapcore.WarnLevel, "long-running tasks wait for room", []string{"task", "run", "worker", "age", "reason", "epoch", "cell"}, "The task is the one that has waited longest. Add capacity if none of the tasks fits; report it if tasks that fit a worker, also after one run is moved, go on waiting. The reason also says why the move is not made yet (docs/OPERATIONS.md, `moves_not_made`), how long room that had been awaited took to be filled, and what held it. At most two lines a second."},
	{ServingReported, "ServingReported", zapcore.WarnLevel, "submissions of this epoch by queue, size and how they were served", []string{"cell", "epoch", "reason"}, "None. Of those not served it says how many never started and what most of their time went into (docs/OPERATIONS.md): with `no room` or `little room`, workers with more CPU for the largest tasks are missing; with `occupied` or `order`, more workers."},
	{TargetMissed, "TargetMissed", zapcore.WarnLevel, "task has been over its latency target beside best-effort runs for 2 s", []string{"task", "run", "worker", "age", "reason", "epoch", "cell"}, "One line for each time that it is so; event 869 ends it, when the reports have been within the target for 1 s. The reason has the last tail latency, the reports, and what was placed, paced and stopped beside the task meanwhile. If the reports are far apart, check the CPU of the owner's VM and the network to the worker."},
	{TargetMissEnded, "TargetMissEnded", zapcore.WarnLevel, "task that was over its latency target beside best-effort runs for 2 s or more is within it again, or has ended", []string{"task", "run", "worker", "age", "reason", "epoch", "cell"}, "As for event 868; the age is the time between the first and the last report over the target."},
	{AdmissionChanged, "AdmissionChanged", zapcore.WarnLevel, "new submissions of a queue and size are rejected, or admitted again", []string{"queue", "size", "reason", "age", "epoch", "cell"}, "The reason has the inputs, counted over the time in age. Add workers with room for the tasks of the queue, or take long-running work away (docs/OPERATIONS.md, reading a shortage)."},
	{SubmissionTurnedAway, "SubmissionTurnedAway", zapcore.WarnLevel, "submission was rejected, because the workers can't start it while it is of use; it has not run", []string{"id", "queue", "size", "duration", "age", "share", "waiting", "started", "late", "fit", "rejections", "retryAfter"}, "As for event 871. The age is that of the owner's outlook; fit is the number of tasks like its first ones that fit the free room."},
	{OrderWithheld, "OrderWithheld", zapcore.InfoLevel, "order was not sent, because another incarnation of the worker answers", []string{"worker", "order", "expected", "found"}, "None: the worker has restarted, and the owner learns of it by this order. expected and found are start times in Unix milliseconds."},
	{PiecesReported, "PiecesReported", zapcore.WarnLevel, "tasks wait, and no worker's free CPU is enough for one of them", []string{"worker", "reason", "epoch", "cell"}, "The reason has the free CPU by the size of the pieces in which it lies on the workers, and for each class of tasks that have waited for 0.5 s and fit no worker what they request and how many would fit if finite runs ended, or if the free CPU were in one piece (docs/OPERATIONS.md, `tasks_in_no_piece`). If next to none would in one piece, add capacity; otherwise the room is there and divided. At most one line a second."},
	{TakeoverTimed, "TakeoverTimed", zapcore.InfoLevel, "first placement of an ownership, with the time of each step before it", []string{"cell", "epoch", "waited", "read", "opened", "ready", "listed", "heard", "reports", "placed"}, "None. waited is the time from the assignment to the attempt that opened the epoch, read that for reading the cell, opened that for the record of the epoch; the others count from there on. If read is long, check the connection to the platform's store."},
	{TenantKeysChanged, "TenantKeysChanged", zapcore.InfoLevel, "a version of the manifest adds or removes tenants or their keys", []string{"version", "added", "removed", "changed", "keysAdded", "keysRemoved"}, "None. added, removed and changed are names of tenants; keys are never shown."},
	{TenantCapsChanged, "TenantCapsChanged", zapcore.InfoLevel, "a version of the manifest changes the weights or caps of tenants", []string{"version", "changed"}, "None."},
	{CallsRefused, "CallsRefused", zapcore.InfoLevel, "calls were refused for their keys", []string{"queue", "reason", "calls"}, "At most one line a second; calls counts all since the last one, queue and reason are those of the newest. If a tenant complains, compare the time with that of event 880."},
	{ManifestExpired, "ManifestExpired", zapcore.WarnLevel, "the manifest was read too long ago to tell which keys are valid; calls get 503 until it is read again", []string{"version", "age"}, "Check the connection to the platform's store. Without events 825 or 826 at the same time, check the CPU of the VM."},
	{ManifestRenewed, "ManifestRenewed", zapcore.InfoLevel, "the manifest has been read again, and calls are answered", []string{"age"}, "None."},
	{CapsChanged, "CapsChanged", zapcore.WarnLevel, "a manifest changes what tenants may have running", []string{"reason", "epoch", "cell"}, "None. Runs above a lowered cap go on; their tenant starts nothing until it is below. One line of each owner."},
	{ClientsClosed, "ClientsClosed", zapcore.WarnLevel, "connections of clients were closed or not taken, because the limits of their listener were reached", []string{"listener", "address", "connections", "memory", "progress"}, "The numbers are by reason, since the last such line; the address is that of the last client. If these are callers that behave well, raise client_memory or the VM's memory; else look for the client."},
	{PassingBegan, "PassingBegan", zapcore.InfoLevel, "store is slow; this VM passes its submissions on to another one, which appends those of all", []string{"cell", "to"}, "None. Event 893 of the owner says since when."},
	{PassingEnded, "PassingEnded", zapcore.InfoLevel, "this VM appends its submissions itself again", []string{"cell", "to"}, "None."},
	{PassFailed, "PassFailed", zapcore.WarnLevel, "submissions that were passed on got no answer; this VM appends them itself", []string{"cell", "records", "to", "error"}, "Check the VM at the address, and the network to it."},
	{GatheringBegan, "GatheringBegan", zapcore.WarnLevel, "store is slow; the owner asks the other VMs to pass their submissions on to it", []string{"cell", "epoch", "nodes"}, "Check the platform's store. If other VMs reach it faster, check the CPU and the network of this one."},
	{GatheringEnded, "GatheringEnded", zapcore.InfoLevel, "store is fast again; the VMs append their submissions themselves", []string{"cell", "epoch", "nodes"}, "None."},
}
