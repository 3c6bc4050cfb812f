package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// Machine decides for one cell during one epoch. One goroutine uses it.
type Machine struct {
	config  Config
	book    *ledger.Ledger
	now     time.Duration
	wall    time.Time
	out     []Action
	workers map[string]*worker
	// sorted are the workers in ascending order of id.
	sorted []*worker
	active map[workload.TaskID]*run
	// byEntry are the active runs of each submission.
	byEntry map[string][]*run
	// checkpoints are newer than the book's, from runs whose end was not reported.
	checkpoints map[workload.TaskID]string
	// avoid is the worker on which a task failed last.
	avoid     map[workload.TaskID]string
	evacuated map[string]bool
	// closing are tasks whose end was listed by a worker that no run of theirs
	// is on any more, until the end is on the log.
	closing map[workload.TaskID]bool
	// busy counts the tasks of each step that have a run or whose end is on its
	// way to the log.
	busy map[*ledger.Step]int
	// rankSpace is reused by each ranking.
	rankSpace []ranked
	// pending are the continuations of appends in flight, oldestAppend the
	// time of the oldest one.
	pending map[int64]appendInFlight
	token   int64
	records []*ledgerpb.Record
	then    []func()
	// plannedAt is when tasks were placed last.
	plannedAt time.Duration
	wantPlan  bool
	images    images
	// learnedAt is when the knowledge of images was recorded last, after
	// learnedUpdates observations.
	learnedAt      time.Duration
	learnedUpdates int
}

type appendInFlight struct {
	at   time.Duration
	then []func()
}

// New returns the machine of an epoch that begins now. The book has been read
// to the end of both streams.
func New(config Config, book *ledger.Ledger, now time.Duration, wall time.Time) *Machine {
	m := &Machine{
		config: config, book: book, now: now, wall: wall,
		workers:     make(map[string]*worker),
		active:      make(map[workload.TaskID]*run),
		byEntry:     make(map[string][]*run),
		checkpoints: make(map[workload.TaskID]string),
		avoid:       make(map[workload.TaskID]string),
		evacuated:   make(map[string]bool),
		closing:     make(map[workload.TaskID]bool),
		busy:        make(map[*ledger.Step]int),
		pending:     make(map[int64]appendInFlight),
		images:      newImages(),
	}
	m.images.restore(book.InterferenceModel())
	m.inherit()
	return m
}

// inherit takes over the runs that earlier owners placed and whose end is not
// on the log.
func (m *Machine) inherit() {
	for _, e := range m.book.Live() {
		for number := range e.OccurrenceCount() {
			if !e.HasOccurrence(number) {
				continue
			}
			o := e.Occurrence(number)
			for s := range o.Steps {
				m.inheritTasks(e, o.Steps[s].Tasks)
			}
		}
	}
}

func (m *Machine) inheritTasks(e *ledger.Entry, tasks []ledger.Task) {
	for i := range tasks {
		t := &tasks[i]
		if t.Done || !t.Open {
			continue
		}
		w := m.inheritWorker(t.PlacedOn)
		if w == nil {
			continue
		}
		r := m.newRun(e, t, t.Run, w)
		r.phase, r.inherited = starting, true
	}
}

// inheritWorker returns the worker of an inherited run, or nil if a run on a
// later life of the worker shows that the life has ended.
func (m *Machine) inheritWorker(life workload.Incarnation) *worker {
	w := m.workers[life.Worker]
	switch {
	case w == nil:
		w = m.addWorker(workload.Worker{Incarnation: life})
	case life.StartMillis < w.StartMillis:
		return nil
	case life.StartMillis > w.StartMillis:
		m.reborn(w, life)
	}
	w.formerLapseAt = m.now + m.config.PredecessorExpiry
	return w
}

func (m *Machine) addWorker(info workload.Worker) *worker {
	w := newWorker(info)
	m.workers[info.ID()] = w
	at, _ := slices.BinarySearchFunc(m.sorted, info.ID(), func(w *worker, id string) int { return cmp.Compare(w.ID(), id) })
	m.sorted = slices.Insert(slices.Clone(m.sorted), at, w)
	return w
}

// dropWorker forgets a worker. Callers may range over the former slice.
func (m *Machine) dropWorker(w *worker) {
	delete(m.workers, w.ID())
	m.sorted = slices.DeleteFunc(slices.Clone(m.sorted), func(other *worker) bool { return other == w })
}

func (m *Machine) newRun(e *ledger.Entry, t *ledger.Task, number int64, w *worker) *run {
	r := &run{
		id:    workload.RunID{Task: t.ID, Run: number},
		entry: e, task: t, step: &e.Steps[t.ID.Step], on: w,
		phase: recording, checkpoint: t.Checkpoint,
		image: m.images.id(e.Steps[t.ID.Step].Image),
	}
	if newer := m.checkpoints[t.ID]; newer != "" {
		r.checkpoint = newer
	}
	w.add(r)
	m.active[t.ID] = r
	m.occupy(e, t.ID, 1)
	m.byEntry[e.ID] = append(m.byEntry[e.ID], r)
	return r
}

// forget drops a run that can't exist any more; its task may be placed again.
func (m *Machine) forget(r *run) {
	r.on.remove(r, m.now)
	if m.active[r.id.Task] != r {
		return
	}
	delete(m.active, r.id.Task)
	m.occupy(r.entry, r.id.Task, -1)
	// Callers range over the former slice while runs are forgotten.
	left := slices.DeleteFunc(slices.Clone(m.byEntry[r.entry.ID]), func(other *run) bool { return other == r })
	if len(left) == 0 {
		delete(m.byEntry, r.entry.ID)
	} else {
		m.byEntry[r.entry.ID] = left
	}
	m.wantPlan = true
}

// occupy counts a task that has a run, or no longer has one.
func (m *Machine) occupy(e *ledger.Entry, id workload.TaskID, change int) {
	step := &e.Occurrence(id.Occurrence).Steps[id.Step]
	m.busy[step] += change
	if m.busy[step] == 0 {
		delete(m.busy, step)
	}
}

// Step takes an event at time now of the node's steady clock and returns the
// actions. Time never goes back.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.now = max(m.now, now)
	m.out = nil
	m.take(ev)
	if m.wantPlan && m.now-m.plannedAt >= planInterval {
		m.plannedAt = m.now
		m.plan()
	}
	m.flush()
	return m.out
}

func (m *Machine) take(ev Event) {
	switch ev := ev.(type) {
	case EntryChanged:
		m.entryChanged(ev.Entry)
	case WorkersListed:
		m.workersListed(ev.Workers)
	case Evacuated:
		m.evacuated = ev.DataCentres
		m.wantPlan = true
	case Appended:
		m.appended(ev.Token)
	case HeartbeatAnswered:
		m.holdAnswered(ev)
	case HeartbeatFailed:
		m.holdFailed(ev)
	case StartAnswered:
		m.startAnswered(ev)
	case StopAnswered:
		m.stopAnswered(ev)
	case PredecessorResigned:
		m.predecessorResigned(ev.Expiry)
	case Tick:
		m.tick(ev.Now)
	}
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

func (m *Machine) decide(kind DecisionKind, id workload.RunID, worker, reason string, age time.Duration) {
	m.emit(Decision{Kind: kind, Run: id, Worker: worker, Reason: reason, Age: age})
}

// decideSubmission tells of a submission as a whole.
func (m *Machine) decideSubmission(kind DecisionKind, e *ledger.Entry) {
	m.emit(Decision{
		Kind: kind, Run: workload.RunID{Task: workload.TaskID{Submission: e.ID}}, Reason: e.State().String(),
		Queue: e.Queue, Elapsed: m.wall.Sub(e.DueAt(e.OccurrenceCount() - 1)), Objective: e.Objective(),
	})
}

// write adds a record to the append that leaves at the end of the step.
func (m *Machine) write(r *ledgerpb.Record, then func()) {
	m.records = append(m.records, r)
	m.then = append(m.then, then)
}

func (m *Machine) flush() {
	if len(m.records) == 0 {
		return
	}
	m.token++
	m.pending[m.token] = appendInFlight{at: m.now, then: m.then}
	m.emit(Append{Token: m.token, Records: m.records})
	m.records, m.then = nil, nil
}

func (m *Machine) appended(token int64) {
	then := m.pending[token].then
	delete(m.pending, token)
	for _, f := range then {
		f()
	}
}

// logStalled tells that an append has been without an answer for long.
func (m *Machine) logStalled() bool {
	for _, p := range m.pending {
		if m.now-p.at > stalledAppend {
			return true
		}
	}
	return false
}

// entryChanged stops the runs of an entry that is final.
func (m *Machine) entryChanged(e *ledger.Entry) {
	if e == nil {
		return
	}
	m.wantPlan = true
	if !e.State().Final() {
		return
	}
	for _, r := range m.byEntry[e.ID] {
		m.stopRun(r, "submission is "+e.State().String())
	}
}

// tick lets leases lapse and holds the workers that are due.
func (m *Machine) tick(wall time.Time) {
	m.wall = wall
	if m.now-m.plannedAt >= replanInterval {
		m.wantPlan = true
	}
	for _, w := range m.sorted {
		if (w.silent || w.Address == "") && w.lapsed(m.now) && len(w.runs) > 0 {
			m.loseRuns(w, "lease has lapsed")
		}
		if !w.listed && !w.holding && !w.hasWork() {
			m.dropWorker(w)
			continue
		}
		if w.Draining {
			m.leave(w)
		}
		m.retryOrders(w)
		m.holdIfDue(w)
	}
	m.unstick()
	m.recordLearned()
}

// leave stops the long-running tasks of a worker that goes away soon, so that
// they start elsewhere at once instead of when its lease has lapsed. Other
// tasks usually end before the worker goes.
func (m *Machine) leave(w *worker) {
	for _, r := range w.order {
		if r.step.LongRunning && r.phase == running && !r.stop {
			m.stopRun(r, "worker is draining")
		}
	}
}

// predecessorResigned shortens the wait for leases that earlier owners gave.
func (m *Machine) predecessorResigned(lapse time.Duration) {
	for _, w := range m.workers {
		w.formerLapseAt = min(w.formerLapseAt, m.now+lapse)
	}
}

// workersListed takes the platform's present list.
func (m *Machine) workersListed(list []workload.Worker) {
	present := make(map[string]bool, len(list))
	for _, info := range list {
		present[info.ID()] = true
		w := m.workers[info.ID()]
		if w == nil {
			w = m.addWorker(info)
		}
		if w.Incarnation != info.Incarnation && info.StartMillis > w.StartMillis {
			m.reborn(w, info.Incarnation)
		}
		if w.Incarnation == info.Incarnation {
			w.Worker = info
			w.listed = true
		}
	}
	for _, w := range m.sorted {
		w.listed = w.listed && present[w.ID()]
	}
	m.wantPlan = true
}

// reborn begins a new life of a worker: nothing of the old one runs any more.
// A start that the old life never listed may have reached the new one, which
// has the same id; such a run is stopped there before its task is placed again.
func (m *Machine) reborn(w *worker, life workload.Incarnation) {
	m.decide(WorkerRestarted, workload.RunID{}, life.Worker, "born differs", 0)
	unsure := w.unlisted()
	for _, r := range unsure {
		w.remove(r, m.now)
	}
	m.loseRuns(w, "the worker's life ended")
	w.Incarnation = life
	for _, r := range unsure {
		w.add(r)
		r.stop = true
		m.sendStop(r)
	}
	w.reported, w.silent = false, false
	w.seen, w.cursor, w.acked, w.unsettled = 0, 0, 0, nil
	w.clock, w.clockAt, w.lapseAt, w.formerLapseAt, w.granted = 0, 0, 0, 0, 0
	w.record = record{}
	w.nextHoldAt = m.now
}

// loseRuns gives up the runs of a worker that can't run any more.
func (m *Machine) loseRuns(w *worker, reason string) {
	for _, r := range w.order {
		m.decide(RunLost, r.id, w.ID(), reason, m.now-w.clockAt)
		if r.checkpoint != "" {
			m.checkpoints[r.id.Task] = r.checkpoint
		}
		if r.phase == recording {
			r.stop = true
			continue
		}
		m.forget(r)
	}
}
