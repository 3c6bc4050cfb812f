package tasks

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// task is the state of one task in this cell.
type task struct {
	id       string
	parsedID TaskID
	// isHome is set if this is the home cell of the task.
	isHome bool
	streamState
	localState
}

// streamState is the part of a task that depends on the task stream alone.
type streamState struct {
	// hasRecords is set once a record about the task has been applied.
	hasRecords bool
	attempt    int64
	// live is set while the attempt has been placed and has not ended.
	live       bool
	worker     string
	boot       string
	placedTerm int64
	requests   hostapi.Resources
	evicting   bool
	// moveTo is the target of a requested or recorded move, or nil.
	moveTo     *recordpb.Cell
	checkpoint string
	failures   int64
	outcome    recordpb.Outcome
	message    string
	// moveNumber counts the recorded moves of the task.
	moveNumber    int64
	moved         bool
	moveDelivered bool
}

// localState is the part of a task's state that is not in the stream and belongs
// to one term. It is cleared when a term begins or ends, and when an attempt
// begins or ends.
type localState struct {
	// inFlight is the record about the task that has been emitted but not read
	// back yet, or nil.
	inFlight *recordpb.Record
	// endToRecord is the end of the live attempt that is to be recorded, or nil.
	endToRecord *recordpb.Ended

	start         *hostapi.Start
	startSentAt   time.Duration
	startAnswered bool
	// started is set once the worker has accepted the start or listed the
	// attempt; listedByWorker is set once it has listed the attempt while fenced
	// with the owner's term.
	started        bool
	listedByWorker bool
	// leaseEnd is the local time by which the lease has expired on the worker's
	// clock; 0 if unknown.
	leaseEnd time.Duration

	evictRequested bool
	evictMoveTo    *recordpb.Cell
	// evictCheckpointSince is the local time at which the eviction began to wait
	// for a checkpoint, or 0.
	evictCheckpointSince time.Duration
	checkpointSentAt     time.Duration
	evictCheckpointDone  bool
	// newCheckpoint is the name of a checkpoint that is to be recorded, or "".
	newCheckpoint string
	stopSentAt    time.Duration
	stopSent      bool

	offered   bool
	offeredAt time.Duration
}

// attemptID returns the id of the last placed attempt.
func (t *task) attemptID() hostapi.AttemptID {
	return hostapi.AttemptID{Task: t.id, Attempt: t.attempt}
}

// belongsToCell reports whether the task belongs to this cell.
func (t *task) belongsToCell() bool {
	return !t.moved && (t.isHome || t.hasRecords)
}

// isLiveAttempt reports whether id is the live attempt of this task and was
// placed on the given boot of the worker.
func (t *task) isLiveAttempt(id hostapi.AttemptID, worker, boot string) bool {
	return t.live && t.attempt == id.Attempt && t.worker == worker && t.boot == boot
}
