package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// Decision describes a decision for logging and metrics. It requires no action.
type Decision struct {
	Kind   DecisionKind
	Run    workload.RunID
	Worker string
	// Reason is the reason for the decision.
	Reason string
	// Age is the age of the input on which the decision is based.
	Age time.Duration
	// Queue, Elapsed and Objective are set for a submission that began, ended or is overdue.
	// Elapsed is the time since its last occurrence was due, Objective the time
	// within which that should complete.
	Queue string
	// Tenant is set with them, if the submission has one.
	Tenant    string
	Elapsed   time.Duration
	Objective time.Duration
	// Size, Work, in seconds of a core, and Started are set for the same submissions, Served
	// for those that ended or are overdue. Of a run that is stopped to make room, Work is the
	// work that is lost. Started: a run has been recorded.
	Size    SizeClass
	Work    float64
	Started bool
	Served  Served
	// Times is set for a submission that ended or is overdue: what its time was spent on, as far
	// as this owner has observed it.
	Times TimeUses
	// Waits is set for InterruptionEnded, the times for which the task waited, by what for, and
	// for RoomFilled, the times for which the room was held, by what.
	Waits map[string]time.Duration
	// Obstacles is set for RoomReported: the tasks for which a move of one run would make room, by
	// why it is not made yet.
	Obstacles map[string]int
	// NearData and AwayFromData are set for PlaceAwaited: the tasks that were placed on the rack that
	// they waited for, and elsewhere.
	NearData, AwayFromData int
	// Unplaced is set for PiecesReported.
	Unplaced []UnplacedTasks
}

// DecisionKind is the kind of a decision.
type DecisionKind int

// Kinds of decisions.
const (
	RunPlaced DecisionKind = iota + 1
	RunStarted
	RunRefused
	RunEnded
	RunLost
	RunStopped
	WorkerSuspected
	WorkerTrusted
	WorkerRestarted
	// SubmissionBegan: the placement of the submission's first run was recorded.
	SubmissionBegan
	// SubmissionEnded: the submission's state has become completed or failed.
	SubmissionEnded
	// TaskWaiting: a task has had no run for the time in Age, too long for its kind. Reason
	// counts the workers by why they do not take it; Worker is the one on which it last
	// failed.
	TaskWaiting
	// TaskReleased: a task, and maybe others of its step, that had no run for the time in
	// Age is given to another cell, which Reason names.
	TaskReleased
	// LeasesAwaited: runs of workers that do not answer are kept until the leases of these
	// workers have expired. Worker is the one whose leases expire last, Age its silence, or 0
	// if it has not answered this owner.
	LeasesAwaited
	// WorkerCrashed: a worker's incarnation ended in a crash. Reason names the suspects.
	WorkerCrashed
	// TaskGivenUp: so many workers have crashed under a task that it is not run again.
	TaskGivenUp
	// SubmissionCleared: none of the runs that a cancelled or otherwise final submission had
	// is left. Elapsed is the time since this owner learnt that it is final.
	SubmissionCleared
	// FinalRunLeft: a run is left although its submission has been final for the time in
	// Age. Reason says why it has not been stopped.
	FinalRunLeft
	// UnknownRunListed: a worker lists a run that this owner does not have. Reason says what
	// is known of its submission, Age for how long that has been final, or 0.
	UnknownRunListed
	// SubmissionOverdue: the submission has not ended within lateFactor times its objective,
	// and so is not served.
	SubmissionOverdue
	// LargestFavoured: the largest submissions of a queue are placed first, because they are
	// served less often than the others. Reason has the shares.
	LargestFavoured
	// InterruptionLong: a long-running task has had no run for the time in Age, which is longer
	// than it may last. Run and Worker are those of the last one; Reason says how that ended
	// and what the task waits for.
	InterruptionLong
	// InterruptionEnded: a long-running task that had no run for the time in Age runs again. Reason
	// says how the last run ended and what the task waited for.
	InterruptionEnded
	// EntryIgnored: an entry in the list of workers can't be that of the worker with its id.
	EntryIgnored
	// RunDisplaced: a finite run is stopped, or a long-running one moved, to make room for a
	// long-running task, which Reason names. Work is the work that is lost.
	RunDisplaced
	// RoomReported: long-running tasks wait, the one in Run for the time in Age. Reason has what
	// they request and what is free.
	RoomReported
	// TargetMissed: a task has been over its latency target beside best-effort runs for the time
	// in Age, by its worker's reports. Reason counts these and what happened to the runs.
	TargetMissed
	// TargetMissEnded: a task that was so for the time in Age is within its target again, or has
	// no run any more. Reason is that of TargetMissed.
	TargetMissEnded
	// ServingReported: some submissions were late or not served since the last report. Reason
	// counts the submissions of each queue by size and by how they were served, in this epoch.
	ServingReported
	// RoomFilled: a long-running run has started in room that became free while its task waited.
	// Age is the time from the stop of the last run there, or from when its end was learned.
	RoomFilled
	// AdmissionChanged: the submissions of Queue and Size are rejected, or admitted again, as Reason
	// says with the inputs. Age is the time over which these were counted.
	AdmissionChanged
	// PiecesReported: tasks that have waited fit no worker. Unplaced has them by class, Reason the
	// pieces of free CPU as well.
	PiecesReported
	// CapsChanged: a manifest changes what tenants may have running. Reason names them.
	CapsChanged
	// PlaceAwaited: tasks of a step have waited for room on the rack of their data, the first for the
	// time in Age. Reason counts those that got it.
	PlaceAwaited
)

// String returns the kind's name in metrics and logs, where "worker reborn" stands
// for WorkerRestarted.
func (k DecisionKind) String() string {
	return [...]string{"none", "placed", "started", "refused", "ended", "lost", "stopped",
		"worker suspected", "worker trusted", "worker reborn", "submission began", "submission ended", "task waiting",
		"task released", "leases awaited", "worker crashed", "task given up",
		"submission cleared", "final run left", "unknown run listed", "submission overdue", "largest favoured",
		"interruption long", "interruption ended", "entry ignored", "displaced", "room reported", "target missed", "target miss ended", "serving reported", "room filled", "admission changed", "pieces reported", "caps changed", "place awaited"}[k]
}
