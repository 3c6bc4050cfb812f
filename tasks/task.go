package tasks

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// task is one task of the cell.
type task struct {
	id       string
	parsedID TaskID
	// home is set if the task's first cell is this one.
	isHome bool
	streamState
	localState
}

// streamState is the part of a task that depends on the task stream alone.
type streamState struct {
	// history is set once a record about the task was applied.
	hasRecords bool
	attempt    int64
	// live means that the attempt was placed and has not ended.
	live       bool
	worker     string
	boot       string
	placedTerm int64
	requests   hostapi.Resources
	evicting   bool
	// to is the target of a wanted or recorded move, or nil.
	moveTo        *recordpb.Cell
	checkpoint    string
	failures      int64
	outcome       recordpb.Outcome
	message       string
	moveNumber    int64
	moved         bool
	moveDelivered bool
}

// localState is the part of a task that only the present owner knows. It is
// cleared when a term begins or ends, and when an attempt begins or ends.
type localState struct {
	// inFlight is the record about the task that awaits its read-back.
	inFlight *recordpb.Record
	// ended is the end of the live attempt that is to be recorded.
	endToRecord *recordpb.Ended

	start         *hostapi.Start
	startSentAt   time.Duration
	startAnswered bool
	// started means that the worker has answered the start or listed the
	// attempt; listed that it has listed it, as fenced with the owner's term.
	started        bool
	listedByWorker bool
	// leaseEnd is the local time by which the lease has ended on the worker's
	// clock; 0 if unknown.
	leaseEnd time.Duration

	evictRequested       bool
	evictMoveTo          *recordpb.Cell
	evictCheckpointSince time.Duration
	checkpointSentAt     time.Duration
	evictCheckpointDone  bool
	// newCheckpoint is a checkpoint that is to be recorded, or "".
	newCheckpoint string
	stopSentAt    time.Duration
	stopSent      bool

	offered   bool
	offeredAt time.Duration
}

// attemptID names the last placed attempt.
func (t *task) attemptID() hostapi.AttemptID {
	return hostapi.AttemptID{Task: t.id, Attempt: t.attempt}
}

// belongsToCell reports whether the task belongs to this cell.
func (t *task) belongsToCell() bool {
	return !t.moved && (t.isHome || t.hasRecords)
}

// isLiveAttempt reports whether the attempt named is the live one of this task on a
// worker.
func (t *task) isLiveAttempt(id hostapi.AttemptID, worker, boot string) bool {
	return t.live && t.attempt == id.Attempt && t.worker == worker && t.boot == boot
}
