package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// placementBits is the number of bits, in the order of a placement, of its number in its
// epoch.
const placementBits = 32

// Machine is the scheduling state machine of one cell during one epoch. It is not
// safe for concurrent use.
type Machine struct {
	config Config
	ledger *ledger.Ledger
	now    time.Duration
	// createdAt is when the epoch began.
	createdAt time.Duration
	wall      time.Time
	actions   []Action
	workers   map[string]*worker
	// listRead: the list of workers has been read in this epoch. Until then nothing is
	// known of an inherited worker but its address.
	listRead bool
	// sorted lists the workers in ascending order of id.
	sorted []*worker
	// placements counts the runs that were placed in this epoch.
	placements int64
	active     map[workload.TaskID]*run
	// byEntry are the active runs of each submission.
	byEntry map[string][]*run
	// checkpoints are newer than those in the ledger; see checkpointKey. They come from runs whose
	// end was not reported.
	checkpoints map[workload.TaskID]unrecordedCheckpoint
	// avoid is the worker on which a task last failed or stalled.
	avoid map[workload.TaskID]string
	// stalls are the tasks with runs that have stalled.
	stalls    map[workload.TaskID]stalls
	evacuated map[string]bool
	views     views
	tenants   *tenants
	// recordingEnds are the tasks without an active run whose end was listed by a
	// worker and is not in the log yet.
	recordingEnds map[workload.TaskID]bool
	// unrecorded are the ends whose records are not known to be in the log.
	unrecorded map[workload.RunID]*unrecordedEnd
	// releasing are the tasks without an active run whose release to another cell is
	// not in the log yet.
	releasing map[workload.TaskID]bool
	// occupied counts the tasks of each step that have a run or are in recordingEnds or
	// releasing.
	occupied map[*ledger.Step]int
	// rankBuffer is the storage that all rankings reuse.
	rankBuffer []rankedWorker
	// pending are the appends in flight, by ID. records and callbacks collect
	// the next append.
	pending      map[int64]appendInFlight
	lastAppendID int64
	records      []*ledgerpb.Record
	callbacks    []func()
	// plannedAt is the time of the last planning round.
	plannedAt  time.Duration
	planNeeded bool
	// planFrom is the time before which no planning round runs.
	planFrom time.Duration
	model    interferenceModel
	// longWaits are the steps with tasks that had no run at longWaitsAt, among them
	// longRunningWaits.
	longWaits        map[*ledger.Step]*longWait
	longRunningWaits []*longWait
	longWaitsAt      time.Duration
	roomChanges      roomChanges
	// piecesCheckedAt is when tasks that fit no piece of free CPU were last searched.
	piecesCheckedAt time.Duration
	bestEffortWaits map[*ledger.Step]*bestEffortWait
	transfers       transfers
	// leaseWaitsReportedAt is when runs that wait for leases were last reported.
	leaseWaitsReportedAt time.Duration
	// silencesForgottenAt is when recorded silences were last looked through.
	silencesForgottenAt time.Duration
	// soleRecorded: the record that no previous owner can grant leases was appended.
	soleRecorded bool
	// soleFrom is the time from which no previous owner grants leases.
	soleFrom time.Duration
	crashes  crashes
	// holds are the steps that hold workers, or did and wait still.
	holds map[*ledger.Step]*hold
	// claims are the tasks for which runs are being stopped. displacedAt is when runs to
	// displace were last searched.
	claims        map[workload.TaskID]*claim
	displacements map[workload.TaskID]displacements
	displacedAt   time.Duration
	// nextMoveAt is the earliest time of the next search for a run to move. moveSearchFailed: the
	// last one found none.
	nextMoveAt       time.Duration
	moveSearchFailed bool
	excess           excessRuns
	places           placeWaits
	starts           startLimit
	// modelRecordedAt is when the interference model was last recorded, after
	// recordedObservations observations.
	modelRecordedAt      time.Duration
	recordedObservations int
	sizes                sizeSamples
	// interruptions are the long-running tasks whose last run has ended and that have no confirmed
	// one.
	interruptions map[workload.TaskID]*interruption
	// withPlace are the runs for whose replacement capacity is reserved.
	withPlace map[*run]bool
	// overdueAt is when submissions that are not served were last searched for.
	overdueAt time.Duration
	times     timeAccounts
	serving   servingReport
	// runTimes are those of the queues by name.
	runTimes     map[string]*runTimes
	expectations map[*ledger.Entry]*expectation
	// shortages are the classes whose waiting long-running tasks request much of the CPU, shares has
	// the shares of the last planning round.
	shortages map[runClass]*shortage
	shares    *roomShares
	// finiteRoom is the room that is kept for finite steps in the planning round that runs, and nil
	// outside of one.
	finiteRoom    *finiteRoom
	finiteDemands finiteDemands
	// held are the workers that the last planning round held.
	held []*worker
	// outlook is what submissions can expect.
	outlook outlook
}

type appendInFlight struct {
	at        time.Duration
	callbacks []func()
}

// New returns the machine of an epoch that begins now. The ledger must have been
// read to the end of both streams.
func New(config Config, cellLedger *ledger.Ledger, now time.Duration, wall time.Time) *Machine {
	m := &Machine{
		config: config, ledger: cellLedger, now: now, createdAt: now, wall: wall, soleFrom: now + config.AuthorityDuration,
		workers:         make(map[string]*worker),
		active:          make(map[workload.TaskID]*run),
		byEntry:         make(map[string][]*run),
		checkpoints:     make(map[workload.TaskID]unrecordedCheckpoint),
		avoid:           make(map[workload.TaskID]string),
		shortages:       make(map[runClass]*shortage),
		shares:          new(roomShares),
		stalls:          make(map[workload.TaskID]stalls),
		evacuated:       make(map[string]bool),
		recordingEnds:   make(map[workload.TaskID]bool),
		unrecorded:      make(map[workload.RunID]*unrecordedEnd),
		releasing:       make(map[workload.TaskID]bool),
		occupied:        make(map[*ledger.Step]int),
		pending:         make(map[int64]appendInFlight),
		model:           newInterferenceModel(),
		transfers:       newTransfers(),
		crashes:         newCrashes(),
		holds:           make(map[*ledger.Step]*hold),
		claims:          make(map[workload.TaskID]*claim),
		displacements:   make(map[workload.TaskID]displacements),
		excess:          newExcessRuns(),
		places:          newPlaceWaits(),
		starts:          newStartLimit(),
		sizes:           make(sizeSamples),
		overdueAt:       now,
		times:           newTimeAccounts(now),
		serving:         newServingReport(now),
		outlook:         newOutlook(now),
		tenants:         newTenants(),
		runTimes:        make(map[string]*runTimes),
		expectations:    make(map[*ledger.Entry]*expectation),
		interruptions:   make(map[workload.TaskID]*interruption),
		withPlace:       make(map[*run]bool),
		bestEffortWaits: make(map[*ledger.Step]*bestEffortWait),
	}
	m.restoreSizes()
	m.model.restore(cellLedger.InterferenceModel())
	m.inheritRuns()
	m.inheritInterruptions()
	return m
}

func (m *Machine) addWorker(info workload.Worker) *worker {
	w := newWorker(info)
	w.tenants = m.tenants
	m.inheritSilence(w)
	m.workers[info.ID()] = w
	at, _ := slices.BinarySearchFunc(m.sorted, info.ID(), func(w *worker, id string) int { return cmp.Compare(w.ID(), id) })
	m.sorted = slices.Insert(slices.Clone(m.sorted), at, w)
	return w
}

// removeWorker removes a worker. It replaces the slice of workers because callers
// may be iterating over it.
func (m *Machine) removeWorker(w *worker) {
	delete(m.workers, w.ID())
	w.roundIndex = -1
	m.sorted = slices.DeleteFunc(slices.Clone(m.sorted), func(other *worker) bool { return other == w })
}

func (m *Machine) newRun(e *ledger.Entry, t *ledger.Task, number int64, w *worker) *run {
	m.placements++
	r := &run{
		id:    workload.RunID{Task: t.ID, Run: number},
		order: m.config.Epoch<<placementBits + m.placements,
		entry: e, task: t, step: &e.Steps[t.ID.Step], worker: w,
		phase: recording, resumesFrom: m.checkpointOf(e, t), pace: 100,
		image:    m.model.idOf(e.Steps[t.ID.Step].Image),
		isolated: e.CrashRecordOf(t).Suspect,
	}
	r.checkpoint = r.resumesFrom
	m.noteWait(t.ID)
	m.fillRoom(r, heldByPlan, heldByRecord)
	w.addRun(r)
	m.active[t.ID] = r
	m.addOccupied(e, t.ID, 1)
	m.byEntry[e.ID] = append(m.byEntry[e.ID], r)
	if r.step.LongRunning {
		m.roomChanges.started++
		m.finiteRoom.changed(w)
	}
	return r
}

// removeRun removes a run that can no longer exist; its task may be placed again.
func (m *Machine) removeRun(r *run) {
	m.releasePlace(r)
	m.endTargetMiss(r)
	r.worker.removeRun(r, m.now)
	m.finiteRoom.changed(r.worker)
	if m.active[r.id.Task] != r {
		return
	}
	m.noteWait(r.id.Task)
	delete(m.active, r.id.Task)
	if r.step.LongRunning {
		m.roomChanges.ended++
		m.roomChanges.freed += reservation(r.step).MilliCPU
	}
	m.addOccupied(r.entry, r.id.Task, -1)
	// The slice is replaced because callers iterate over it while they remove runs.
	remaining := slices.DeleteFunc(slices.Clone(m.byEntry[r.entry.ID]), func(other *run) bool { return other == r })
	if len(remaining) == 0 {
		delete(m.byEntry, r.entry.ID)
	} else {
		m.byEntry[r.entry.ID] = remaining
	}
	m.noteRunGone(r.entry)
	m.planNeeded = true
}

// addOccupied adds change to the number of occupied tasks of a task's step.
func (m *Machine) addOccupied(e *ledger.Entry, id workload.TaskID, change int) {
	step := &e.Occurrence(id.Occurrence).Steps[id.Step]
	m.occupied[step] += change
	if m.occupied[step] == 0 {
		delete(m.occupied, step)
	}
}

// Step handles an event at time now of the node's monotonic clock and returns the
// resulting actions. If now is earlier than in a previous call, the time stays as
// it was.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.now = max(m.now, now)
	m.actions, m.tenants.unlisted = nil, nil
	m.handle(ev)
	if m.planNeeded && m.now-m.plannedAt >= planInterval && m.now >= m.planFrom {
		m.plannedAt = m.now
		m.plan()
	}
	m.flush()
	return m.actions
}

// DelayPlanning puts the next planning round off, because the last one took long. Reports,
// acknowledgements and renewals of leases would wait behind rounds that follow one another.
func (m *Machine) DelayPlanning(until time.Duration) { m.planFrom = until }

func (m *Machine) handle(ev Event) {
	switch ev := ev.(type) {
	case EntryChanged:
		m.entryChanged(ev.Entry)
	case WorkersListed:
		m.workersListed(ev)
	case Evacuated:
		m.evacuated = ev.DataCentres
		m.planNeeded = true
	case TenantsDeclared:
		m.tenantsDeclared(ev)
	case Appended:
		m.appended(ev.ID)
	case HeartbeatAnswered:
		m.heartbeatAnswered(ev)
	case HeartbeatFailed:
		m.heartbeatFailed(ev)
	case StartAnswered:
		m.startAnswered(ev)
	case StopAnswered:
		m.stopAnswered(ev)
	case PaceAnswered:
		m.paceAnswered(ev)
	case PredecessorResigned:
		m.predecessorResigned(ev)
	case LeasesReported:
		m.leasesReported(ev)
	case WitnessesChosen:
		m.recordWitnesses(ev.Witnesses)
	case EndsLearned:
		m.endsLearned(ev.Ends)
	case CapacityFound:
		m.capacityFound(ev)
	case SearchEnded:
		m.transfers.search = nil
	case Resumed:
		clear(m.transfers.confirmedAt)
		m.voidViews()
		m.forgetLeaveTimes()
	case ViewRead:
		m.viewRead(ev.View, ev.SentAt)
	case GuestsConfirmed:
		m.guestsConfirmed(ev)
	case Tick:
		m.tick(ev.Now)
	}
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) emitDecision(kind DecisionKind, id workload.RunID, worker, reason string, age time.Duration) {
	m.emit(Decision{Kind: kind, Run: id, Worker: worker, Reason: reason, Age: age})
}

// appendRecord adds a record to the append that is emitted at the end of the step.
// callback runs when the record is in the log.
func (m *Machine) appendRecord(r *ledgerpb.Record, callback func()) {
	m.records = append(m.records, r)
	m.callbacks = append(m.callbacks, callback)
}

func (m *Machine) flush() {
	if len(m.records) == 0 {
		return
	}
	m.lastAppendID++
	m.pending[m.lastAppendID] = appendInFlight{at: m.now, callbacks: m.callbacks}
	m.emit(Append{ID: m.lastAppendID, Records: m.records})
	m.records, m.callbacks = nil, nil
}

func (m *Machine) appended(id int64) {
	callbacks := m.pending[id].callbacks
	delete(m.pending, id)
	for _, f := range callbacks {
		f()
	}
}

// logStalled reports whether an append has been unanswered for longer than
// appendStallTimeout.
func (m *Machine) logStalled() bool { return m.appendUnanswered(appendStallTimeout) }

// appendUnanswered reports whether an append has been unanswered for longer than a time.
func (m *Machine) appendUnanswered(limit time.Duration) bool {
	for _, p := range m.pending {
		if m.now-p.at > limit {
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
	m.planNeeded = true
	if !e.State().Final() {
		m.recordSize(e)
		m.rateAccepted(e)
		m.countAccepted(e)
		m.checkNewGuest(e)
		return
	}
	m.noteFinal(e)
	m.reportReturnedEnd(e)
	for _, r := range m.byEntry[e.ID] {
		m.stopRun(r, "submission is "+e.State().String())
	}
}
