package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// holdIfDue sends a hold to a worker that has work, or that has not reported
// to this epoch yet.
func (m *Machine) holdIfDue(w *worker) {
	if w.holding || m.now < w.nextHoldAt || w.Address == "" {
		return
	}
	if w.reported && !w.hasWork() {
		return
	}
	h := Heartbeat{Target: w.target(), Cursor: w.cursor}
	switch {
	case !w.reported || w.clock == 0:
		// The first hold reads the worker's clock; without it no lease can be given.
	case len(w.runs) == 0:
	case w.silent:
		// A hold without an answer may have been carried out, so it must not
		// extend the lease: the lease of a worker that is gone has to lapse.
	default:
		h.Deadline = w.leaseEnd(m.now, m.config.Lease)
		if w.seen == w.cursor && !w.awaitsListing() {
			h.Wait = m.holdWait(w)
		}
	}
	w.holding = true
	m.emit(h)
}

// holdWait returns how long a worker may delay its report until a run ends.
// Where best-effort runs can push a task over its latency target, reports come
// more often: the target must not be missed for as long as the deployment's
// limit of about 4 s, and a stop takes up to 1 s of it.
func (m *Machine) holdWait(w *worker) time.Duration {
	if len(w.filling) == 0 {
		return m.config.HeartbeatWait
	}
	for _, s := range w.serving {
		if s.overSince > 0 {
			return min(m.config.HeartbeatWait, watchWait)
		}
	}
	if len(w.serving) > 0 {
		return min(m.config.HeartbeatWait, sharedWait)
	}
	return m.config.HeartbeatWait
}

// holdSpacing returns the pause between two reports. Ends of best-effort runs
// may wait a little: the next report then tells of several.
func (w *worker) holdSpacing() time.Duration {
	for _, r := range w.order {
		if !r.step.BestEffort && !r.step.LongRunning || r.phase != running {
			return urgentSpacing
		}
	}
	for _, s := range w.serving {
		if s.overSince > 0 {
			return urgentSpacing
		}
	}
	return relaxedSpacing
}

// awaitsListing tells whether a run waits for the worker's word.
func (w *worker) awaitsListing() bool {
	for _, r := range w.order {
		if r.inherited || r.phase == stopping {
			return true
		}
	}
	return false
}

func (m *Machine) holdFailed(ev HeartbeatFailed) {
	w := m.workers[ev.Worker]
	if w == nil {
		return
	}
	w.holding = false
	w.nextHoldAt = m.now + holdRetry
	switch ev.Answer {
	case Fenced:
		m.emit(StepDown{Worker: w.ID()})
	case WrongWorker:
		m.loseRuns(w, "the address answers as another worker")
		w.listed = false
		w.acked = w.cursor
		return
	}
	if !w.silent {
		m.decide(WorkerSuspected, workload.RunID{}, w.ID(), ev.Answer.String(), m.now-w.clockAt)
	}
	w.silent = true
}

func (m *Machine) holdAnswered(ev HeartbeatAnswered) {
	w := m.workers[ev.Worker]
	if w == nil {
		return
	}
	w.holding = false
	report := &ev.Report
	switch {
	case report.Incarnation.StartMillis > w.StartMillis:
		m.reborn(w, report.Incarnation)
	case report.Incarnation.StartMillis < w.StartMillis:
		return
	}
	if w.silent {
		m.decide(WorkerTrusted, workload.RunID{}, w.ID(), "answered a hold", m.now-w.clockAt)
		m.wantPlan = true
	}
	if !w.reported {
		m.wantPlan = true
	}
	w.silent = false
	w.readClock(m.now, report.Clock)
	w.acked = max(w.acked, min(w.cursor, m.cursorSent(ev, w)))
	first := !w.reported
	if first {
		w.fenceFormer(m.now, m.config.Lease)
	}
	w.reported = true
	m.readEnds(w, report.Ended)
	m.readActive(w, ev, report.Active)
	m.observeSharing(w)
	w.nextHoldAt = m.now
	if !first {
		w.nextHoldAt += w.holdSpacing()
	}
}

// cursorSent returns the cursor that an answered hold carried: ends up to it
// are not listed any more.
func (m *Machine) cursorSent(ev HeartbeatAnswered, w *worker) int64 {
	lowest := w.cursor
	for i := range ev.Report.Ended {
		lowest = min(lowest, ev.Report.Ended[i].Sequence-1)
	}
	return lowest
}

// readEnds records the ends that are listed for the first time.
func (m *Machine) readEnds(w *worker, ends []workload.EndedRun) {
	for i := range ends {
		end := &ends[i]
		if end.Sequence <= w.seen {
			continue
		}
		w.list(end.Sequence)
		m.readEnd(w, end)
	}
}

func (m *Machine) readEnd(w *worker, end *workload.EndedRun) {
	life := w.Incarnation
	advance := func() {
		// A new life of the worker numbers its ends from 1 again.
		if w.Incarnation == life {
			w.settle(end.Sequence)
		}
	}
	r := w.runs[end.RunID]
	if r == nil {
		m.readForeignEnd(end, advance)
		return
	}
	m.decide(RunEnded, end.RunID, w.ID(), end.Outcome.String(), 0)
	m.learn(w, r, end.Outcome)
	w.remove(r, m.now)
	r.phase, r.inherited = ending, false
	if r.step.Gang && end.Outcome != workload.Succeeded {
		m.stopGang(r)
	}
	m.recordEnd(r.entry, end, func() {
		advance()
		delete(m.checkpoints, end.Task)
		m.forget(r)
	})
	m.wantPlan = true
}

// readForeignEnd handles the end of a run that this machine gave up or never
// knew. A success counts if nothing else was placed for the task since.
func (m *Machine) readForeignEnd(end *workload.EndedRun, advance func()) {
	e := m.book.Find(end.Task.Submission)
	if e == nil || e.State().Final() {
		advance()
		return
	}
	t := e.Task(end.Task)
	if t == nil || t.Run != end.Run || m.active[end.Task] != nil {
		advance()
		return
	}
	m.closing[end.Task] = true
	m.occupy(e, end.Task, 1)
	m.recordEnd(e, end, func() {
		advance()
		delete(m.closing, end.Task)
		m.occupy(e, end.Task, -1)
	})
}

// recordEnd writes an end; then runs when the record is on the log.
func (m *Machine) recordEnd(e *ledger.Entry, end *workload.EndedRun, then func()) {
	record := ledger.EndedRecord(end.RunID, end.Outcome, end.Checkpoint)
	m.write(record, func() {
		live := !e.State().Final()
		m.book.Apply(record)
		then()
		m.wantPlan = true
		if !e.State().Final() {
			return
		}
		if live {
			m.decideSubmission(SubmissionEnded, e)
		}
		m.entryChanged(e)
	})
}

// stopGang stops the other members of a gang's run.
func (m *Machine) stopGang(ended *run) {
	for _, r := range m.byEntry[ended.entry.ID] {
		same := r.id.Task.Step == ended.id.Task.Step && r.id.Task.Occurrence == ended.id.Task.Occurrence
		if same && r != ended && r.id.Run == ended.id.Run {
			m.stopRun(r, "another member of the gang ended")
		}
	}
}

// readActive compares the runs that a worker lists with those placed on it.
func (m *Machine) readActive(w *worker, ev HeartbeatAnswered, active []workload.ActiveRun) {
	listed := make(map[workload.RunID]bool, len(active))
	for i := range active {
		a := &active[i]
		listed[a.RunID] = true
		r := w.runs[a.RunID]
		if r == nil {
			m.stopUnknown(w, a.RunID)
			continue
		}
		m.readRun(r, a)
	}
	for _, r := range w.order {
		if !listed[r.id] {
			m.readAbsent(r, ev.SentAt)
		}
	}
}

// stopUnknown stops a run that is not wanted: one that an earlier owner
// started for a submission that is final now, or that was given up.
func (m *Machine) stopUnknown(w *worker, id workload.RunID) {
	if current := m.active[id.Task]; current != nil && current.id == id && current.phase == ending {
		return
	}
	m.decide(RunStopped, id, w.ID(), "run is not wanted", 0)
	m.emit(Stop{Target: w.target(), Run: id})
}

func (m *Machine) readRun(r *run, a *workload.ActiveRun) {
	if r.phase == starting {
		m.confirm(r)
	}
	r.inherited = false
	if a.Checkpoint != "" && a.Checkpoint != r.checkpoint {
		r.checkpoint = a.Checkpoint
		r.progressAt = m.now
	}
	if a.ProgressPercent != r.percent {
		r.progressAt = m.now
	}
	r.reportedAt = m.now
	r.percent = a.ProgressPercent
	r.tail, r.used = a.TailLatency, a.UsedMilliCPU
}

// readAbsent handles a run that its worker does not list. The report counts
// only if the hold was sent after the worker confirmed the run or its stop.
func (m *Machine) readAbsent(r *run, sentAt time.Duration) {
	switch r.phase {
	case starting:
		if r.inherited && !r.inFlight {
			m.resumeInherited(r)
		}
	case running:
		if sentAt > r.confirmedAt {
			m.stopRun(r, "the worker does not list the run")
		}
	case stopping:
		if sentAt > r.confirmedAt+m.config.StopTime+stopMargin && !r.inFlight {
			m.decide(RunStopped, r.id, r.on.ID(), "gone", m.now-r.confirmedAt)
			m.keepCheckpoint(r)
			m.forget(r)
		}
	}
}

// resumeInherited decides on a run that an earlier owner recorded and the
// worker has never begun, as far as it says: a copy of the start may be late.
func (m *Machine) resumeInherited(r *run) {
	r.inherited = false
	if r.stop || m.refuses(r) != "" || r.step.Gang || r.crowded() {
		m.stopRun(r, "start of an earlier owner is not repeated")
		return
	}
	m.sendStart(r)
}

func (m *Machine) keepCheckpoint(r *run) {
	if r.checkpoint != "" {
		m.checkpoints[r.id.Task] = r.checkpoint
	}
}
