package ownership

import (
	"slices"
	"time"
)

// Machine is the state machine of one entry VM for the cells of one data
// centre. It is not safe for concurrent use.
type Machine struct {
	config  Config
	now     time.Duration
	actions []Action

	// firstOffset and lastOffset are the offsets of the first and the last
	// applied record; firstReadAt is when the first was read.
	firstOffset, lastOffset int64
	firstReadAt             time.Duration
	members                 map[string]*member
	// memberNames holds the keys of members in ascending order.
	memberNames []string
	cells       []cell

	// joinOffset is the offset of this VM's join record; joinReadAt is when it
	// was read back.
	joinOffset int64
	joinReadAt time.Duration
	joinSent   bool
	superseded bool

	pendingRenewal *pendingRecord
	renewalSentAt  time.Duration
	renewalCount   uint64
	// renewalRead is the read offset of the last renewal sent, lastJoin the offset of the last
	// join record of another VM.
	renewalRead, lastJoin int64
	claimCount            uint64
	syncedVMs             []string

	// missingSince holds the time at which each VM was first missing from the
	// VM list.
	missingSince map[string]time.Duration
	listedAt     time.Duration

	// goneSince holds the time at which each predecessor was first known to be
	// gone.
	goneSince map[process]time.Duration

	promiseRequestCount uint64
	promisesRequestedAt time.Duration
	// promiseRequestTimes holds the local send times, by number, of the promise
	// requests that are not older than PromiseLife.
	promiseRequestTimes map[uint64]time.Duration

	stopping bool
	// stoppingSent is set once a renewal that marks this VM as stopping was sent.
	stoppingSent bool
	leaveSent    bool
	left         bool

	reportedViews []View
}

// New returns a machine that has not read any record.
func New(config Config) *Machine {
	m := &Machine{
		config:              config,
		members:             make(map[string]*member),
		cells:               make([]cell, config.Cells),
		missingSince:        make(map[string]time.Duration),
		promiseRequestTimes: make(map[uint64]time.Duration),
		reportedViews:       make([]View, config.Cells),
	}
	for i := range m.reportedViews {
		m.reportedViews[i] = m.View(0, i)
	}
	return m
}

// Step processes one event at local monotonic time now and returns the
// resulting actions. A now before that of an earlier step counts as the earlier.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.now = max(m.now, now)
	m.actions = nil
	m.handleEvent(ev)
	if !m.superseded && !m.left {
		m.emitDueActions()
	}
	m.reportViews()
	return m.actions
}

// handleEvent updates the state for one event.
func (m *Machine) handleEvent(ev Event) {
	switch e := ev.(type) {
	case Applied:
		m.apply(e)
	case VMsListed:
		m.applyVMList(e)
	case PromiseAsked:
		m.answerPromise(e)
	case PromiseAnswered:
		m.recordPromises(e)
	case NewerTermReported:
		m.applyNewerTerm(e.Cell, e.Term)
	case SyncedChanged:
		m.syncedVMs = slices.Sorted(slices.Values(e.VMs))
	case CellDrained:
		m.cellDrained(e.Cell)
	case StopRequested:
		m.stopping = true
	}
}

// emitDueActions emits the records and promise requests that are due.
func (m *Machine) emitDueActions() {
	if m.config.Rescuer {
		m.rescueDueCells()
		return
	}
	m.sendJoin()
	if m.joinOffset == 0 {
		return
	}
	m.dropGonePredecessors()
	m.drainLost()
	m.releaseCells()
	m.sendDueRenewal()
	m.claimDueCells()
	m.askPromises()
	m.sendLeaveWhenDone()
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

// cell returns the cell with the given number, or nil if there is none.
func (m *Machine) cell(number int) *cell {
	if number < 0 || number >= len(m.cells) {
		return nil
	}
	return &m.cells[number]
}

// owns reports whether this process owns the cell according to the records read.
func (m *Machine) owns(c *cell) bool {
	return c.owner == m.config.VM && c.incarnation == m.config.Incarnation
}

// activeOwner reports whether this process owns the cell and has seen no newer term.
func (m *Machine) activeOwner(c *cell) bool {
	return m.owns(c) && c.ownTerm != 0 && c.newerTerm == 0 && !m.superseded
}

// setMember sets the current process of a VM.
func (m *Machine) setMember(vm string, current *member) {
	if at, found := slices.BinarySearch(m.memberNames, vm); !found {
		m.memberNames = slices.Insert(m.memberNames, at, vm)
	}
	m.members[vm] = current
}

// Config returns the settings of the machine.
func (m *Machine) Config() Config {
	return m.config
}

// Offset returns the offset of the last applied record.
func (m *Machine) Offset() int64 {
	return m.lastOffset
}

// JoinOffset returns the offset of this VM's join record, or 0 until the record
// has been read back.
func (m *Machine) JoinOffset() int64 {
	return m.joinOffset
}

// Members returns the VMs that are members and not known gone, in ascending order.
func (m *Machine) Members() []string {
	var names []string
	for _, vm := range m.memberNames {
		if !m.memberGone(vm) {
			names = append(names, vm)
		}
	}
	return names
}
