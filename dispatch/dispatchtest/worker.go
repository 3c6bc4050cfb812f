package dispatchtest

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// noEnd is later than the end of any run.
const noEnd = time.Duration(math.MaxInt64)

// listedEnds is the number of ends that a simulated worker lists at a time.
const listedEnds = 3

// Worker simulates a worker that follows the platform's rules: it refuses
// commands of lower epochs, superseded runs, passed deadlines and starts without
// free capacity, and it kills all runs when its lease expires.
type Worker struct {
	Info        workload.Worker
	Up          bool
	Partitioned bool
	Removed     bool
	// Unlisted: the list lacks the worker, which works on.
	Unlisted  bool
	clockZero time.Duration
	Epoch     int64
	deadline  time.Duration
	Runs      map[workload.RunID]*Run
	// earliestEnd is a time before which no run ends by itself.
	earliestEnd    time.Duration
	highestRefused map[workload.TaskID]int64
	Ends           []workload.EndedRun
	// Voided are the ends that were not acknowledged before the lease expired: by
	// the platform's rules they count as never acknowledged.
	Voided   map[int64]bool
	sequence int64
	cursor   int64
	// Unguarded workers start what exceeds their capacity, which last shrank at ShrunkAt.
	Unguarded bool
	ShrunkAt  time.Duration
	// LeaseLimit is the longest lease; a longer one is shortened. 0 stands for no limit.
	LeaseLimit time.Duration
	// StopTime is how long a stop takes, during which a run is neither active nor ended.
	StopTime time.Duration
	// now is the time of the last call of Advance.
	now time.Duration
	// slow is the fraction by which the worker's clock is slow.
	slow float64
}

// Run is a run that ends at a time with an outcome, if nothing ends it before.
type Run struct {
	ID workload.RunID
	// key is the text by which runs are sorted.
	key     string
	Request hostapi.Resources
	EndsAt  time.Duration
	// StartedAt is when the worker started the run.
	StartedAt time.Duration
	Outcome   workload.Outcome
	// Checkpoint is the newest one, at first that of the start, or "".
	Checkpoint string
	// stopping: a stop of the run is under way.
	stopping bool
}

// NewWorker returns a worker that is up, with a capacity of some thousandths of a core.
func NewWorker(id string, milliCPU int64) *Worker {
	return &Worker{
		Info: workload.Worker{
			Incarnation: workload.Incarnation{Worker: id, StartMillis: 1}, Service: "register", Address: id, DataCentre: "giza", Rack: "r1-1",
			Capacity: hostapi.Resources{MilliCPU: milliCPU, MemoryMiB: 1 << 20},
		},
		Up: true, Runs: make(map[workload.RunID]*Run), highestRefused: make(map[workload.TaskID]int64),
		Voided: make(map[int64]bool),
	}
}

// Clock returns the time since the worker began by its own clock, and a second.
func (w *Worker) Clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-w.clockZero)*(1-w.slow)) + time.Second
}

// Advance ends the runs that are due, and kills all runs if the lease has expired.
func (w *Worker) Advance(now time.Duration) {
	w.now = now
	if !w.Up {
		return
	}
	expired := w.Clock(now) > w.deadline
	lapsed := len(w.Runs) > 0 && expired
	if expired {
		for _, e := range w.Ends {
			w.Voided[e.Sequence] = true
		}
	}
	if !lapsed && now < w.earliestEnd {
		return
	}
	w.earliestEnd = noEnd
	for _, r := range w.sorted() {
		switch {
		case lapsed:
			w.end(r, workload.Lapsed)
		case now >= r.EndsAt:
			w.end(r, r.Outcome)
		default:
			w.earliestEnd = min(w.earliestEnd, r.EndsAt)
		}
	}
}

func (w *Worker) sorted() []*Run {
	var all []*Run
	for _, r := range w.Runs {
		if r.key == "" {
			r.key = fmt.Sprint(r.ID)
		}
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *Run) int { return strings.Compare(a.key, b.key) })
	return all
}

func (w *Worker) end(r *Run, outcome workload.Outcome) {
	delete(w.Runs, r.ID)
	w.highestRefused[r.ID.Task] = max(w.highestRefused[r.ID.Task], r.ID.Run)
	w.sequence++
	w.Ends = append(w.Ends, workload.EndedRun{RunID: r.ID, Sequence: w.sequence, Outcome: outcome, Checkpoint: r.Checkpoint})
}

// End ends a run with an outcome.
func (w *Worker) End(r *Run, outcome workload.Outcome) { w.end(r, outcome) }

// Reboot begins a new incarnation without any state of the previous one.
func (w *Worker) Reboot(now time.Duration) {
	w.Info.StartMillis++
	w.Up, w.clockZero, w.Epoch, w.deadline, w.sequence, w.cursor = true, now, 0, 0, 0, 0
	w.Voided = make(map[int64]bool)
	w.Runs, w.highestRefused, w.Ends = make(map[workload.RunID]*Run), make(map[workload.TaskID]int64), nil
}

func (w *Worker) fenced(epoch int64) bool {
	if epoch < w.Epoch {
		return true
	}
	w.Epoch = epoch
	return false
}

func (w *Worker) extendLease(now, deadline time.Duration) {
	if w.LeaseLimit > 0 {
		deadline = min(deadline, w.Clock(now)+w.LeaseLimit)
	}
	w.deadline = max(w.deadline, deadline)
}

// Free returns the capacity that the runs leave.
func (w *Worker) Free() hostapi.Resources {
	left := w.Info.Capacity
	for _, r := range w.Runs {
		left = left.Sub(r.Request)
	}
	return left
}

// Start carries out a start command of an epoch's owner with a run.
func (w *Worker) Start(now time.Duration, epoch int64, s dispatch.Start, r *Run) dispatch.Answer {
	switch {
	case w.fenced(epoch):
		return dispatch.Fenced
	case s.Deadline < w.Clock(now):
		return dispatch.TooLate
	case w.Runs[s.Run] != nil:
		return dispatch.Done
	case s.Run.Run <= w.highestRefused[s.Run.Task]:
		return dispatch.Superseded
	case !w.Unguarded && !r.Request.Fits(w.Free()):
		return dispatch.NoRoom
	}
	w.extendLease(now, s.Deadline)
	w.Runs[s.Run] = r
	w.earliestEnd = min(w.earliestEnd, r.EndsAt)
	return dispatch.Done
}

// Stop carries out a stop command of an epoch's owner.
func (w *Worker) Stop(epoch int64, s dispatch.Stop) dispatch.Answer {
	if w.fenced(epoch) {
		return dispatch.Fenced
	}
	w.highestRefused[s.Run.Task] = max(w.highestRefused[s.Run.Task], s.Run.Run)
	switch r := w.Runs[s.Run]; {
	case r == nil || r.stopping:
	case w.StopTime == 0:
		w.end(r, workload.Stopped)
	default:
		r.stopping, r.Outcome, r.EndsAt = true, workload.Stopped, w.now+w.StopTime
		w.earliestEnd = min(w.earliestEnd, r.EndsAt)
	}
	return dispatch.Done
}

// Heartbeat carries out a heartbeat of an epoch's owner: it extends the lease, drops the
// acknowledged ends and reports the runs and the first of the other ends.
func (w *Worker) Heartbeat(now time.Duration, epoch int64, h dispatch.Heartbeat) (workload.Report, dispatch.Answer) {
	if w.fenced(epoch) {
		return workload.Report{}, dispatch.Fenced
	}
	w.extendLease(now, h.Deadline)
	w.cursor = max(w.cursor, h.Cursor)
	w.Ends = slices.DeleteFunc(w.Ends, func(e workload.EndedRun) bool { return e.Sequence <= w.cursor })
	listed := w.Ends[:min(len(w.Ends), listedEnds)]
	report := workload.Report{
		Incarnation: w.Info.Incarnation, Clock: w.Clock(now), Ended: slices.Clone(listed), EndsIncomplete: len(listed) == listedEnds,
	}
	for _, r := range w.sorted() {
		if r.stopping {
			continue
		}
		report.Active = append(report.Active, workload.ActiveRun{RunID: r.ID, Checkpoint: r.Checkpoint, ProgressPercent: 50})
	}
	return report, dispatch.Done
}
