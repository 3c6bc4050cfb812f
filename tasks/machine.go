package tasks

import (
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// Machine is the state machine of one cell. It is not safe for concurrent use.
type Machine struct {
	config  Config
	now     time.Duration
	actions []Action

	// offset, term, filter and the streamState of the tasks are the stream state.
	offset int64
	// term is the highest opened term.
	term      int64
	filter    record.Filter
	tasks     map[string]*task
	sortedIDs []string

	declared        map[workKey]*Work
	declaredThrough api.Version

	owned   bool
	ownTerm int64
	rescue  bool
	// termOpen is set once the Open record of this term has been read back, so
	// that every valid record of a lower term has been read.
	termOpen     bool
	ownedAt      time.Duration
	predecessors int
	// predecessorsGoneAt is the local time at which the last predecessor was
	// known to be gone; until then it is the start of the term.
	predecessorsGoneAt time.Duration
	placeUntil         time.Duration
	renewUntil         time.Duration
	placingAllowed     bool

	workers map[string]*worker
	// sortedWorkers are the workers in ascending order of id.
	sortedWorkers []*worker
	// adoptionsInFlight has the ids of tasks whose Adopted record has not been
	// read back.
	adoptionsInFlight map[string]bool

	recordsSinceSnapshot int
	snapshotRequested    bool
}

type workKey struct {
	name    string
	created api.Version
}

// New returns a machine that follows the stream from its first offset. Placing
// is not allowed until a PlacingChanged event allows it.
func New(config Config) *Machine {
	return &Machine{
		config:            config,
		tasks:             make(map[string]*task),
		declared:          make(map[workKey]*Work),
		workers:           make(map[string]*worker),
		adoptionsInFlight: make(map[string]bool),
	}
}

// Step handles one event at local monotonic time now and returns the resulting
// actions. A time before that of an earlier step counts as that time.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.now = max(m.now, now)
	m.actions = nil
	m.handleEvent(ev)
	return m.actions
}

func (m *Machine) handleEvent(ev Event) {
	switch e := ev.(type) {
	case Tick:
		m.tick()
	case Applied:
		m.applyBatch(e)
	case WorkChanged:
		m.handleWorkChanged(e)
	case WorkThrough:
		m.declaredThrough = max(m.declaredThrough, e.Version)
		m.prune()
	case WorkersListed:
		m.handleWorkersListed(e)
	case Owned:
		m.beginTerm(e)
	case Disowned:
		m.endTerm()
	case AuthorityChanged:
		m.placeUntil, m.renewUntil = e.PlaceUntil, e.RenewUntil
	case PredecessorsChanged:
		m.handlePredecessorsChanged(e.Count)
	case PlacingChanged:
		m.placingAllowed = e.Allowed
	case Observed:
		m.handleObserved(e)
	default:
		m.handleTaskEvent(ev)
	}
}

// handleTaskEvent dispatches an event that concerns a single task.
func (m *Machine) handleTaskEvent(ev Event) {
	switch e := ev.(type) {
	case PlacementDecided:
		m.handlePlacementDecided(e)
	case EvictRequested:
		m.handleEvictRequested(e)
	case MoveRequested:
		m.handleMoveRequested(e)
	case CheckpointRequested:
		m.handleCheckpointRequested(e)
	case StartAnswered:
		m.handleStartAnswered(e)
	case CheckpointAnswered:
		m.handleCheckpointAnswered(e)
	case StopAnswered:
		m.handleStopAnswered(e)
	case MoveOffered:
		m.handleMoveOffered(e)
	case MoveConfirmed:
		m.handleMoveConfirmed(e)
	}
}

// tick emits the actions that are due.
func (m *Machine) tick() {
	if !m.owned {
		return
	}
	m.pollWorkers()
	m.renewLeases()
	m.advanceAll()
	if m.termOpen && m.recordsSinceSnapshot >= m.config.SnapshotRecords && !m.snapshotRequested {
		m.snapshotRequested = true
		m.emit(SnapshotDue{})
	}
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

// beginTerm starts an ownership term of this VM.
func (m *Machine) beginTerm(e Owned) {
	m.clearLocalState()
	m.owned, m.ownTerm, m.rescue = true, e.Term, e.Rescue
	m.termOpen = false
	m.ownedAt, m.predecessorsGoneAt = m.now, m.now
	m.predecessors = e.Predecessors
	if !m.rescue {
		m.pollWorkers()
	}
	m.emit(Append{Record: &recordpb.Record{
		Term: e.Term,
		Open: &recordpb.Open{Owner: m.config.VM, Rescue: e.Rescue},
	}})
}

// endTerm ends the ownership term of this VM. The machine continues to follow
// the stream.
func (m *Machine) endTerm() {
	m.clearLocalState()
	m.owned, m.termOpen, m.rescue = false, false, false
	m.placeUntil, m.renewUntil = 0, 0
}

func (m *Machine) clearLocalState() {
	for _, t := range m.tasks {
		t.localState = localState{}
	}
	for _, w := range m.workers {
		w.reset()
	}
	clear(m.adoptionsInFlight)
}

func (m *Machine) handlePredecessorsChanged(count int) {
	if m.predecessors > 0 && count == 0 {
		m.predecessorsGoneAt = m.now
	}
	m.predecessors = count
}

// getOrCreateTask returns the task with the given id and creates it if
// necessary. It returns nil if the id is malformed.
func (m *Machine) getOrCreateTask(id string) *task {
	if t, ok := m.tasks[id]; ok {
		return t
	}
	parsedID, err := ParseTaskID(id)
	if err != nil {
		return nil
	}
	t := &task{id: id, parsedID: parsedID}
	m.tasks[id] = t
	m.sortedIDs = nil
	return t
}

// sortedTaskIDs returns the ids of all tasks in ascending order.
func (m *Machine) sortedTaskIDs() []string {
	if m.sortedIDs == nil {
		m.sortedIDs = slices.Sorted(maps.Keys(m.tasks))
	}
	return m.sortedIDs
}

// Config returns the settings of the machine.
func (m *Machine) Config() Config {
	return m.config
}

// Offset returns the offset of the last applied batch.
func (m *Machine) Offset() int64 {
	return m.offset
}
