package dispatch

import (
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// worker is what the owner knows of one life of a worker.
type worker struct {
	workload.Worker
	// listed: the present list shows this life.
	listed bool
	// reported: the life answered a hold of this epoch, so it refuses the
	// orders of earlier epochs.
	reported bool
	// clock is the newest reading of the worker's clock, received at clockAt.
	clock   time.Duration
	clockAt time.Duration
	// lapseAt is when every lease of this life has lapsed, as far as the
	// orders sent so far go.
	lapseAt time.Duration
	// granted is the end of the longest lease on the worker's clock.
	granted time.Duration
	// formerLapseAt is the same for the leases that earlier owners gave.
	formerLapseAt time.Duration
	// silent: the last hold had no answer.
	silent bool
	// holding: a hold is in flight.
	holding    bool
	nextHoldAt time.Duration
	// seen is the highest end that was listed, unsettled are the listed ends
	// whose record is not on the log, in ascending order. The cursor is below
	// all of these: the worker forgets every end up to it.
	seen      int64
	unsettled []int64
	cursor    int64
	// acked is the highest cursor that the worker has confirmed.
	acked int64
	// pausedUntil keeps new runs off the worker.
	pausedUntil time.Duration
	// runs are the runs that may be on the worker; order has the same runs in
	// the order in which they were placed.
	runs  map[workload.RunID]*run
	order []*run
	// serving are the runs with a latency target, filling the best-effort ones.
	serving []*run
	filling []*run
	// presences are the best-effort runs of the last moments.
	presences []presence
	// relievedAt is when best-effort runs were stopped for a latency target.
	relievedAt time.Duration
	// companyAt counts the changes of runs.
	companyAt int64
	// reserved is the room of all runs; bestEffort the processors of best-effort
	// runs, servingCPU those of runs with a latency target.
	reserved   hostapi.Resources
	bestEffort int64
	servingCPU int64
	record     record
}

func newWorker(info workload.Worker) *worker {
	return &worker{Worker: info, runs: make(map[workload.RunID]*run)}
}

func (w *worker) target() Target { return Target{Incarnation: w.Incarnation, Address: w.Address} }

// add reserves the room of a run.
func (w *worker) add(r *run) {
	w.runs[r.id] = r
	w.order = append(w.order, r)
	w.count(r, 1)
	switch {
	case r.step.LatencyTarget > 0:
		w.serving = append(w.serving, r)
	case r.step.BestEffort:
		w.filling = append(w.filling, r)
	}
}

// remove frees the room of a run.
func (w *worker) remove(r *run, now time.Duration) {
	if _, ok := w.runs[r.id]; !ok {
		return
	}
	delete(w.runs, r.id)
	w.count(r, -1)
	w.depart(r, now)
	isRun := func(other *run) bool { return other == r }
	// Callers range over the former slice while they remove runs.
	w.order = slices.DeleteFunc(slices.Clone(w.order), isRun)
	w.serving = slices.DeleteFunc(slices.Clone(w.serving), isRun)
	w.filling = slices.DeleteFunc(slices.Clone(w.filling), isRun)
}

func (w *worker) count(r *run, sign int64) {
	w.companyAt++
	request := r.step.Request
	if r.step.BestEffort {
		w.bestEffort += sign * request.MilliCPU
		request.MilliCPU = 0
	}
	if r.step.LatencyTarget > 0 {
		w.servingCPU += sign * request.MilliCPU
	}
	w.reserved.MilliCPU += sign * request.MilliCPU
	w.reserved.MemoryMiB += sign * request.MemoryMiB
	w.reserved.Accelerators += sign * request.Accelerators
}

// list notes that the worker lists an end for the first time.
func (w *worker) list(sequence int64) {
	w.seen = sequence
	w.unsettled = append(w.unsettled, sequence)
}

// settle notes that an end is on the log or needs no record.
func (w *worker) settle(sequence int64) {
	if at, ok := slices.BinarySearch(w.unsettled, sequence); ok {
		w.unsettled = slices.Delete(w.unsettled, at, at+1)
	}
	w.cursor = w.seen
	if len(w.unsettled) > 0 {
		w.cursor = w.unsettled[0] - 1
	}
}

// readClock notes a reading of the worker's clock.
func (w *worker) readClock(now, clock time.Duration) {
	if clock > 0 {
		w.clock, w.clockAt = clock, now
	}
}

// leaseEnd returns the worker's clock at the end of a lease that begins now,
// and notes when it has lapsed at the latest.
func (w *worker) leaseEnd(now, lease time.Duration) time.Duration {
	end := w.clock + (now - w.clockAt) + lease
	w.noteLease(end)
	return end
}

// startLease returns the worker's clock at the end of the lease that a start
// carries. It extends nothing while holds keep the lease long enough: a start
// that is sent to a worker which has just gone would put off the time from which
// its other tasks may be placed again.
func (w *worker) startLease(now, lease time.Duration) time.Duration {
	if w.granted-(w.clock+now-w.clockAt) >= lease/2 {
		return w.granted
	}
	return w.leaseEnd(now, lease)
}

// noteLease notes when the worker's clock has certainly passed end.
func (w *worker) noteLease(end time.Duration) {
	w.granted = max(w.granted, end)
	w.lapseAt = max(w.lapseAt, w.clockAt+LeaseExpiryBound(end-w.clock))
}

// LeaseExpiryBound returns the time after which a lease has lapsed on a worker whose
// clock is as slow as workers' clocks may be.
func LeaseExpiryBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-clockDrift)) + lapseMargin
}

// lapsed tells whether every lease of this life has lapsed.
func (w *worker) lapsed(now time.Duration) bool {
	return now >= w.lapseAt && now >= w.formerLapseAt
}

// fenceFormer notes that the worker refuses earlier owners from now on.
func (w *worker) fenceFormer(now, lease time.Duration) {
	w.formerLapseAt = min(w.formerLapseAt, now+LeaseExpiryBound(lease))
}

// unlisted returns the runs whose start was sent and which no report of the
// life has listed.
func (w *worker) unlisted() []*run {
	var out []*run
	for _, r := range w.order {
		if !r.inherited && r.reportedAt == 0 && (r.phase == starting || r.phase == running) {
			out = append(out, r)
		}
	}
	return out
}

// hasWork tells whether the worker needs to be held.
func (w *worker) hasWork() bool {
	return len(w.runs) > 0 || w.acked < w.cursor
}
