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
	config Config
	now    time.Duration
	out    []Action

	// offset, term, filter and the stream part of the tasks are the stream state.
	offset int64
	// term is the highest opened term.
	term   int64
	filter record.Filter
	tasks  map[string]*task
	order  []string

	works   map[workKey]*Work
	through api.Version

	owned   bool
	ownTerm int64
	rescue  bool
	// open means that the own Open record was read back, so that everything
	// of lower terms that counts has been read.
	open         bool
	ownedAt      time.Duration
	predecessors int
	// goneAt is when the last predecessor was known gone.
	goneAt     time.Duration
	placeUntil time.Duration
	renewUntil time.Duration
	allowed    bool

	workers map[string]*worker
	// byID are the workers in ascending order of id.
	byID     []*worker
	adopting map[string]bool

	// recent counts the records since the last snapshot.
	recent        int
	snapshotAsked bool
}

type workKey struct {
	name    string
	created api.Version
}

// New returns a machine that follows the stream from its first offset. Placing
// is not allowed until PlacingChanged says so.
func New(config Config) *Machine {
	return &Machine{
		config:   config,
		tasks:    make(map[string]*task),
		works:    make(map[workKey]*Work),
		workers:  make(map[string]*worker),
		adopting: make(map[string]bool),
	}
}

// Step takes one event at local monotonic time now and returns the actions.
// Time never goes back.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.now = max(m.now, now)
	m.out = nil
	m.take(ev)
	return m.out
}

// take dispatches events that do not name a single task.
func (m *Machine) take(ev Event) {
	switch e := ev.(type) {
	case Tick:
		m.tick()
	case Applied:
		m.applyBatch(e)
	case WorkChanged:
		m.workChanged(e)
	case WorkThrough:
		m.through = max(m.through, e.Version)
		m.prune()
	case WorkersListed:
		m.workersListed(e)
	case Owned:
		m.begin(e)
	case Disowned:
		m.end()
	case AuthorityChanged:
		m.placeUntil, m.renewUntil = e.PlaceUntil, e.RenewUntil
	case PredecessorsChanged:
		m.predecessorsChanged(e.Count)
	case PlacingChanged:
		m.allowed = e.Allowed
	case Observed:
		m.observed(e)
	default:
		m.takeTask(ev)
	}
}

// takeTask dispatches events that name a single task.
func (m *Machine) takeTask(ev Event) {
	switch e := ev.(type) {
	case PlacementDecided:
		m.place(e)
	case EvictRequested:
		m.evict(e)
	case MoveRequested:
		m.requestMove(e)
	case CheckpointRequested:
		m.requestCheckpoint(e)
	case StartAnswered:
		m.startAnswered(e)
	case CheckpointAnswered:
		m.checkpointAnswered(e)
	case StopAnswered:
		m.stopAnswered(e)
	case MoveOffered:
		m.moveOffered(e)
	case MoveConfirmed:
		m.moveConfirmed(e)
	}
}

// tick emits everything that is due.
func (m *Machine) tick() {
	if !m.owned {
		return
	}
	m.askWorkers()
	m.renew()
	m.advanceAll()
	if m.open && m.recent >= m.config.SnapshotRecords && !m.snapshotAsked {
		m.snapshotAsked = true
		m.emit(SnapshotDue{})
	}
}

func (m *Machine) emit(a Action) {
	m.out = append(m.out, a)
}

// begin starts a term of this VM.
func (m *Machine) begin(e Owned) {
	m.clearLocal()
	m.owned, m.ownTerm, m.rescue = true, e.Term, e.Rescue
	m.open = false
	m.ownedAt, m.goneAt = m.now, m.now
	m.predecessors = e.Predecessors
	if !m.rescue {
		m.askWorkers()
	}
	m.emit(Append{Record: &recordpb.Record{
		Term: e.Term,
		Open: &recordpb.Open{Owner: m.config.VM, Rescue: e.Rescue},
	}})
}

// end ends the term of this VM. The machine goes on following the stream.
func (m *Machine) end() {
	m.clearLocal()
	m.owned, m.open, m.rescue = false, false, false
	m.placeUntil, m.renewUntil = 0, 0
}

func (m *Machine) clearLocal() {
	for _, t := range m.tasks {
		t.local = local{}
	}
	for _, w := range m.workers {
		w.reset()
	}
	clear(m.adopting)
}

func (m *Machine) predecessorsChanged(count int) {
	if m.predecessors > 0 && count == 0 {
		m.goneAt = m.now
	}
	m.predecessors = count
}

// ensure returns the task with an id, which it creates if necessary, or nil
// if the id is malformed.
func (m *Machine) ensure(id string) *task {
	if t, ok := m.tasks[id]; ok {
		return t
	}
	name, err := ParseTaskID(id)
	if err != nil {
		return nil
	}
	t := &task{id: id, name: name}
	m.tasks[id] = t
	m.order = nil
	return t
}

// sorted returns the ids of all tasks in ascending order.
func (m *Machine) sorted() []string {
	if m.order == nil {
		m.order = slices.Sorted(maps.Keys(m.tasks))
	}
	return m.order
}

// Config returns the settings of the machine.
func (m *Machine) Config() Config {
	return m.config
}

// Offset returns the offset of the last applied batch.
func (m *Machine) Offset() int64 {
	return m.offset
}
