package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// phase is the phase of a run's life cycle.
type phase int

const (
	// recording: the Placed record is being appended to the log.
	recording phase = iota + 1
	// recorded: the Placed record is in the log, and the start waits for room that is being
	// cleared.
	recorded
	// starting: the start command was sent and is not confirmed.
	starting
	// running: the worker confirmed the run.
	running
	// stopping: a stop command was sent and no report has listed the run's end.
	stopping
	// ending: a report listed the end and its record is being appended to the log.
	ending
)

// String returns the phase's name in logs and dumps.
func (p phase) String() string {
	return [...]string{"none", "recording", "recorded", "starting", "running", "stopping", "ending"}[p]
}

// stopShouldHaveEnded reports whether a report, whose heartbeat was sent at a time, shows
// the worker as it is after the stop that it answered.
func (r *run) stopShouldHaveEnded(sentAt, stopTime time.Duration) bool {
	return !r.commandInFlight && sentAt > r.confirmedAt+stopTime+stopMargin
}

// formerStopShouldHaveEnded reports the same of a stop of the previous owner, which may have been under way
// when the worker refused the start of an inherited run. The worker carries out no later order of that owner.
func (r *run) formerStopShouldHaveEnded(sentAt, stopTime time.Duration) bool {
	return r.startRefusedAt > 0 && sentAt > r.startRefusedAt+stopTime+stopMargin
}

// run is one run of a task that may exist on a worker.
type run struct {
	id workload.RunID
	// order numbers the placements of the cell over all epochs.
	order  int64
	entry  *ledger.Entry
	task   *ledger.Task
	step   *workload.Step
	worker *worker
	phase  phase
	// inherited: a previous owner placed the run and no report has listed it yet.
	inherited bool
	// startRefusedAt is when the worker refused the start of this inherited run, or 0.
	startRefusedAt time.Duration
	// startedBefore: its start was sent to a former incarnation of the worker.
	startedBefore bool
	// stopRequested: the run must be stopped, or not started.
	stopRequested bool
	// ahead: the run's placement is recorded ahead, and it is not started before runs that are
	// being stopped have ended. If they haven't by aheadUntil, it is withdrawn.
	ahead      bool
	aheadUntil time.Duration
	// displaced: the run is stopped, or moved, to make room. discarded is the work that it loses, in seconds
	// of a core.
	displaced bool
	discarded float64
	// excessReported: it was reported that the run outlasts its submission.
	excessReported bool
	// commandInFlight: a command for the run has no answer yet.
	commandInFlight bool
	// unanswered: a command for the run had no answer. It must be retried, and the
	// unanswered copy may still be carried out.
	unanswered bool
	// leaseDeadline is the lease deadline of the first start command, on the
	// worker's clock.
	leaseDeadline time.Duration
	// confirmedAt is when the start was confirmed; in phase stopping, when the stop
	// was sent or confirmed.
	confirmedAt time.Duration
	// stopSentAt is when the first stop was sent. unansweredStop: a stop had no answer.
	stopSentAt     time.Duration
	unansweredStop bool
	// filling measures how long the room that the run takes was on its way to it, or is nil.
	filling *filling
	// startedAt is when the start was first confirmed.
	startedAt time.Duration
	// settledAt is when the reported figures are those of the run at work. overBefore: whether it
	// was over its latency target before the epoch is not known.
	settledAt  time.Duration
	overBefore bool
	// activeFrom is a reading of the worker's clock at which the run was active, the first
	// that is known, or 0.
	activeFrom time.Duration
	// survived: the worker has outlasted the start of the run by survivalTime.
	survived bool
	// isolated: no other run is started on the worker until this one has survived,
	// because its task is suspected of a crash.
	isolated bool
	// resumesFrom is the checkpoint that each start of the run carries, or "". It is recorded with
	// the run.
	resumesFrom string
	// checkpoint is the newest reported checkpoint, at first resumesFrom.
	checkpoint string
	// progressAt is when a report last showed progress, reportedAt when a report
	// last listed the run.
	progressAt time.Duration
	reportedAt time.Duration
	// progressPercent is the progress; a long-running run reports 100 once it is in
	// service.
	progressPercent int
	// tailLatency and usedMilliCPU are the last reported tail latency and CPU usage.
	tailLatency  time.Duration
	usedMilliCPU int64
	// ownUtilisation is the smoothed utilisation by the run's own load, without the
	// interference of best-effort runs, as of ownUtilisationAt.
	ownUtilisation   float64
	ownUtilisationAt time.Duration
	// overTargetSince is the time of the first report with a tail latency over the target; 0 if
	// the reports have been within it for targetKeptTime. withinTargetSince is the time of the
	// first of the last reports in a row that were within it, or 0.
	overTargetSince   time.Duration
	withinTargetSince time.Duration
	// targetMiss is the time over the target beside best-effort runs that has not ended, or nil.
	targetMiss *targetMiss
	// place is the worker on which capacity is reserved for the run's replacement, or nil.
	place *worker
	// image is the id of the step's image.
	image imageID
	// paced: the run's pace is adapted to the tasks beside it. pace is its pace in percent,
	// ordered at pacedAt; the run has been suspended since suspendedAt if it is 0.
	// paceUnknown: the order may not have been carried out.
	paced                bool
	paceUnknown          bool
	pace                 int
	pacedAt, suspendedAt time.Duration
	// held: the run was suspended at its full pace at heldSince and may get that back.
	held      bool
	heldSince time.Duration
	// intervalFrom is the beginning of the run's last entry in bestEffortHistory.
	intervalFrom time.Duration
	// headroom is the cached result of Machine.runHeadroom for the worker's
	// runsVersion headroomVersion and the report at headroomUtilisationAt.
	headroom              float64
	headroomVersion       int64
	headroomUtilisationAt time.Duration
}
