package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// worker is the owner's view of the current incarnation of a worker.
type worker struct {
	workload.Worker
	// listed: the current list contains this incarnation.
	listed bool
	// reported: the incarnation has answered a heartbeat of this epoch, so it
	// refuses the commands of earlier epochs.
	reported bool
	// clock is the newest reading of the worker's clock, received at clockAt.
	clock   time.Duration
	clockAt time.Duration
	// leasesExpireAt is when every lease that this owner has granted to this
	// incarnation has expired for certain.
	leasesExpireAt time.Duration
	// endsConnections: the worker ended the connection of its last report, so calls may reach
	// its next incarnation. grantArrivesAt is when the last of these that has a deadline has
	// arrived at the latest; 0 if there was none.
	endsConnections bool
	grantArrivesAt  time.Duration
	// leaseDeadline is the latest end of these leases on the worker's clock.
	leaseDeadline time.Duration
	// predecessorsExpireAt is the equivalent of leasesExpireAt for the leases that
	// previous owners granted.
	predecessorsExpireAt time.Duration
	// gone: another worker answers at the address. This one has not been heard since, nor
	// been granted a lease.
	gone bool
	// silent: the last heartbeat failed.
	silent bool
	// bar says whether the worker may be granted leases.
	bar leaseBar
	// recordedLeft is the time until the worker's leases have expired in the newest
	// record of its silence.
	recordedLeft time.Duration
	// leavesAt is the time before which the worker does not leave if it drains, or 0.
	leavesAt time.Duration
	// silentAt is when it became silent.
	silentAt time.Duration
	// heartbeatInFlight: a heartbeat has been sent and has no answer yet. heartbeatToFormer: it
	// was sent to the incarnation before.
	heartbeatInFlight bool
	heartbeatToFormer bool
	nextHeartbeatAt   time.Duration
	// lastEnd is the highest sequence number of an end that was listed.
	// unrecordedEnds are the listed ends whose record is not in the log yet, in
	// ascending order. cursor is the acknowledgement that heartbeats carry. It stays
	// below all unrecorded ends, because the worker discards every end up to it.
	lastEnd        int64
	unrecordedEnds []int64
	cursor         int64
	// ackedCursor is the highest cursor that the worker has confirmed.
	ackedCursor int64
	// pausedUntil is the time until which no runs are placed on the worker, suspectedUntil that
	// until which none are but long-running ones that no other worker has room for.
	pausedUntil, suspectedUntil time.Duration
	// runs are the runs that may exist on the worker; runList has the same runs in
	// order of placement.
	runs    map[workload.RunID]*run
	runList []*run
	// latencyRuns are the runs with a latency target, bestEffortRuns the best-effort
	// runs.
	latencyRuns    []*run
	bestEffortRuns []*run
	// bestEffortHistory has the intervals of best-effort runs that overlap the
	// measurement window.
	bestEffortHistory []bestEffortInterval
	// bestEffortChanges counts what happened to the best-effort runs of this epoch.
	bestEffortChanges bestEffortChanges
	// interferenceStoppedAt is when a best-effort run was last stopped because of a
	// missed latency target.
	interferenceStoppedAt time.Duration
	// pacedPlacementAt is when a run that is paced was last placed on the worker.
	pacedPlacementAt time.Duration
	// vacancy is the room that a run left last.
	vacancy vacancy
	// runsVersion is incremented with each change of runs.
	runsVersion int64
	// reserved is the sum of the requests of all runs, without the CPU of best-effort
	// runs. bestEffortCPU is the CPU of best-effort runs, in thousandths of a core.
	reserved      hostapi.Resources
	bestEffortCPU int64
	// longRunning is the part of reserved that belongs to long-running runs.
	longRunning hostapi.Resources
	// ahead is the part of reserved that belongs to runs recorded ahead, which wait until other
	// runs have ended.
	ahead hostapi.Resources
	// claimed is the room that is kept for tasks while runs are being stopped for them.
	claimed hostapi.Resources
	// limitedRuns counts the runs of each step with a limit per worker.
	limitedRuns map[stepKey]int
	// roundIndex is the worker's index among the usable ones of the planning round that runs, or -1.
	roundIndex int
	// roundPiece is the result of piece in that round, or -1.
	roundPiece int64
	// held: a planning round holds the worker for a task.
	held bool
	// tenants counts the runs of each tenant on all workers; nil in tests of a worker alone.
	tenants *tenants
	// unknownRuns are the runs in the last report that this owner does not have. Their
	// leases, as far as previous owners granted them, have expired at
	// unknownRunsExpireAt.
	unknownRuns         map[workload.RunID]bool
	unknownRunsExpireAt time.Duration
	// restarted: this owner has seen an earlier incarnation with the same id.
	restarted bool
	// unansweredStartAt is when a start to the worker's id was last found to have no
	// answer, or 0.
	unansweredStartAt time.Duration
	// isolated is the number of isolated runs.
	isolated int64
	// freshFrom is the order of the first inherited run that may not have survived.
	freshFrom int64
	history   runHistory
}

func newWorker(info workload.Worker) *worker {
	return &worker{Worker: info, roundIndex: -1, roundPiece: -1, runs: make(map[workload.RunID]*run), limitedRuns: make(map[stepKey]int)}
}

func (w *worker) target() Target { return Target{Incarnation: w.Incarnation, Address: w.Address} }

// addRun adds a run and reserves its resource request.
func (w *worker) addRun(r *run) {
	w.runs[r.id] = r
	w.runList = append(w.runList, r)
	w.adjustReserved(r, 1)
	switch {
	case r.step.LatencyTarget > 0:
		w.latencyRuns = append(w.latencyRuns, r)
	case r.step.BestEffort:
		w.bestEffortRuns = append(w.bestEffortRuns, r)
	}
}

// removeRun removes a run, if present, and releases its resource request.
func (w *worker) removeRun(r *run, now time.Duration) {
	if _, ok := w.runs[r.id]; !ok {
		return
	}
	delete(w.runs, r.id)
	if r.phase > starting {
		w.vacancy = r.vacated(now)
	}
	w.adjustReserved(r, -1)
	w.endInterval(r, now)
	isRun := func(other *run) bool { return other == r }
	// The slices are replaced because callers iterate over them while they remove
	// runs.
	w.runList = slices.DeleteFunc(slices.Clone(w.runList), isRun)
	w.latencyRuns = slices.DeleteFunc(slices.Clone(w.latencyRuns), isRun)
	w.bestEffortRuns = slices.DeleteFunc(slices.Clone(w.bestEffortRuns), isRun)
}

// addUnknownRun adds a run that a report lists and this owner does not have.
func (w *worker) addUnknownRun(id workload.RunID) {
	if w.unknownRuns == nil {
		w.unknownRuns = make(map[workload.RunID]bool)
	}
	w.unknownRuns[id] = true
}

// firstFresh returns the order of the first run that may not have survived its start.
func (w *worker) firstFresh() int64 {
	first := int64(math.MaxInt64)
	for _, r := range w.runList {
		if !r.survived {
			first = min(first, r.order)
		}
	}
	return first
}

// stepKey identifies a step of an occurrence of a submission.
type stepKey struct {
	submission       string
	occurrence, step int
}

func (r *run) stepKey() stepKey {
	task := r.id.Task
	return stepKey{submission: task.Submission, occurrence: task.Occurrence, step: task.Step}
}

// countLimited changes the number of runs of a step with a limit per worker.
func (w *worker) countLimited(key stepKey, change int) {
	w.limitedRuns[key] += change
	if w.limitedRuns[key] == 0 {
		delete(w.limitedRuns, key)
	}
}

// addEnd adds an end that the worker lists for the first time.
func (w *worker) addEnd(sequence int64) {
	w.lastEnd = sequence
	w.unrecordedEnds = append(w.unrecordedEnds, sequence)
}

// endRecorded advances the cursor after an end has been recorded in the log or
// found to need no record.
func (w *worker) endRecorded(sequence int64) {
	if at, ok := slices.BinarySearch(w.unrecordedEnds, sequence); ok {
		w.unrecordedEnds = slices.Delete(w.unrecordedEnds, at, at+1)
	}
	w.cursor = w.lastEnd
	if len(w.unrecordedEnds) > 0 {
		w.cursor = w.unrecordedEnds[0] - 1
	}
}

// updateClock stores a reading of the worker's clock; 0 is ignored.
func (w *worker) updateClock(now, clock time.Duration) {
	if clock > 0 {
		w.clock, w.clockAt = clock, now
	}
}

// extendLease grants a lease that begins now. It returns the end of the lease on the
// worker's clock and updates the time at which the lease has expired at the latest.
func (w *worker) extendLease(now, lease time.Duration) time.Duration {
	end := w.clock + (now - w.clockAt) + lease
	w.trackLease(end)
	return end
}

// leaseForStart returns the end, on the worker's clock, of the lease that a start
// command carries. It does not extend the lease while heartbeats keep it long
// enough: a start that is sent to a worker which has just failed would delay the
// time from which the worker's other tasks may be placed again.
func (w *worker) leaseForStart(now, lease time.Duration) time.Duration {
	if w.leaseDeadline-(w.clock+now-w.clockAt) >= lease/2 {
		return w.leaseDeadline
	}
	return w.extendLease(now, lease)
}

// trackLease updates leaseDeadline and leasesExpireAt for a lease that ends at end on
// the worker's clock. At leasesExpireAt the clock has certainly passed end.
func (w *worker) trackLease(end time.Duration) {
	w.gone = false
	w.leaseDeadline = max(w.leaseDeadline, end)
	w.leasesExpireAt = max(w.leasesExpireAt, w.clockAt+LeaseExpiryBound(end-w.clock))
}

// noteGrant notes a call with a deadline that is sent now, if it may reach the next incarnation.
func (w *worker) noteGrant(now time.Duration) {
	if w.endsConnections {
		w.grantArrivesAt = now + CommandTimeout
	}
}

// formerGrantsExpireAt returns when the leases have expired that a new incarnation has from calls
// that were meant for the one before. Their deadlines, on the former clock, say nothing: each may
// be the longest lease.
func (w *worker) formerGrantsExpireAt(longest time.Duration) time.Duration {
	if w.grantArrivesAt == 0 {
		return 0
	}
	return w.grantArrivesAt + LeaseExpiryBound(longest)
}

// countFormerGrants counts the lease that the worker may have, at its first report, from calls of
// previous owners to its former incarnation. It refuses further ones of those owners. An incarnation
// whose clock is past the lease has outlived it; the clock need not begin at zero.
func (w *worker) countFormerGrants(now, clock, longest time.Duration) {
	if w.endsConnections && clock < 2*longest+CommandTimeout {
		w.leasesExpireAt = max(w.leasesExpireAt, now+LeaseExpiryBound(longest))
	}
}

// LeaseExpiryBound returns the time after which a lease has expired for certain,
// even on a worker whose clock runs as slowly as clockDrift allows.
func LeaseExpiryBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-clockDrift)) + expiryMargin
}

// leaseUntil returns the duration of a lease that begins now and has expired for certain at a
// time.
func (w *worker) leaseUntil(now, expiry time.Duration) time.Duration {
	return time.Duration(float64(expiry-expiryMargin-w.clockAt)*(1-clockDrift)) - (now - w.clockAt) - time.Millisecond
}

// leasesExpired reports whether every lease of this incarnation has expired, those
// of previous owners included.
func (w *worker) leasesExpired(now time.Duration) bool {
	return now >= w.leasesExpireAt && now >= w.predecessorsExpireAt
}

// fencePredecessors limits the leases of previous owners, whose commands the worker
// refuses from now on.
func (w *worker) fencePredecessors(now, lease time.Duration) {
	w.predecessorsExpireAt = min(w.predecessorsExpireAt, now+LeaseExpiryBound(lease))
}

// unreportedRuns returns the runs that no report has listed, also those that are being stopped:
// those that this owner started, and inherited ones of a worker that ends its connections.
func (w *worker) unreportedRuns() []*run {
	var out []*run
	for _, r := range w.runList {
		if (!r.inherited || r.task.EndsConnections) && r.reportedAt == 0 && (r.phase == starting || r.phase == running || r.phase == stopping) {
			out = append(out, r)
		}
	}
	return out
}

// hasLiveRuns reports whether the worker may have a run of a submission that is not final.
func (w *worker) hasLiveRuns() bool {
	return slices.ContainsFunc(w.runList, func(r *run) bool { return !r.ahead && !r.entry.State().Final() })
}

// forgetExpiredUnknownRuns gives unknown runs of a silent worker up when their leases have
// expired.
func (w *worker) forgetExpiredUnknownRuns(now time.Duration) {
	if w.silent && now >= w.unknownRunsExpireAt && w.leasesExpired(now) {
		w.unknownRuns = nil
	}
}

// needsHeartbeat reports whether the worker has runs, also unknown ones, or ends to be
// acknowledged, or may start a run that this owner has given up.
func (w *worker) needsHeartbeat(now time.Duration) bool {
	return w.needsFrequentHeartbeats() || w.mayReceiveLateStart(now)
}

func (w *worker) needsFrequentHeartbeats() bool {
	return len(w.runs) > 0 || len(w.unknownRuns) > 0 || w.ackedCursor < w.cursor
}

// hasLeft reports whether a worker that is not listed and does not answer has nothing that an
// owner needs: no run, and no end whose record is not in the log. If it answers again, it is
// listed, and its ends are taken as those of a worker that a previous owner knew.
func (w *worker) hasLeft(now time.Duration) bool {
	return w.silent && len(w.runs) == 0 && len(w.unknownRuns) == 0 && len(w.unrecordedEnds) == 0 &&
		w.leasesExpired(now) && !w.mayReceiveLateStart(now)
}

// mayReceiveLateStart reports whether a start without an answer may still be carried out by
// another incarnation than it was sent to. That one knows nothing of the run's stop.
func (w *worker) mayReceiveLateStart(now time.Duration) bool {
	return w.restarted && w.unansweredStartAt > 0 && now-w.unansweredStartAt < lateCommandTime
}

// isUnusableUntilHeard reports whether only an answer to a heartbeat lets runs be placed on
// a listed worker.
func (w *worker) isUnusableUntilHeard() bool {
	return w.listed && (w.silent || w.bar == leasesBarred)
}
