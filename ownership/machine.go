package ownership

import (
	"slices"
	"time"
)

// Machine is the state machine of one entry VM for the cells of one data
// centre. It is not safe for concurrent use.
type Machine struct {
	config Config
	now    time.Duration
	out    []Action

	// first and offset are the offsets of the first and the last applied
	// record; firstAt is when the first was read.
	first, offset int64
	firstAt       time.Duration
	members       map[string]*member
	// names are the keys of members in ascending order.
	names []string
	cells []cell

	// joined is the offset of the own join record, joinedAt when it was read.
	joined     int64
	joinedAt   time.Duration
	joinSent   bool
	superseded bool

	renewal   *pending
	renewedAt time.Duration
	renewals  uint64
	claims    uint64
	synced    []string

	// missingSince is when a VM was first missing from the VM list.
	missingSince map[string]time.Duration
	listedAt     time.Duration

	// goneSince is when a predecessor was first known to be gone.
	goneSince map[process]time.Duration

	asks    uint64
	askedAt time.Duration
	// askTimes holds the local times of the questions not older than PromiseLife.
	askTimes map[uint64]time.Duration

	stopping bool
	// stopTold is set once a renewal has said that this VM is stopping.
	stopTold  bool
	leaveSent bool
	left      bool

	reported []View
}

// New returns a machine that has read nothing.
func New(config Config) *Machine {
	m := &Machine{
		config:       config,
		members:      make(map[string]*member),
		cells:        make([]cell, config.Cells),
		missingSince: make(map[string]time.Duration),
		askTimes:     make(map[uint64]time.Duration),
		reported:     make([]View, config.Cells),
	}
	for i := range m.reported {
		m.reported[i] = m.View(0, i)
	}
	return m
}

// Step takes one event at local monotonic time now and returns the actions.
// Time never goes back.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.now = max(m.now, now)
	m.out = nil
	m.take(ev)
	if !m.superseded && !m.left {
		m.decide()
	}
	m.reportViews()
	return m.out
}

// take changes the state by one event.
func (m *Machine) take(ev Event) {
	switch e := ev.(type) {
	case Applied:
		m.apply(e)
	case VMsListed:
		m.list(e)
	case PromiseAsked:
		m.answerPromise(e)
	case PromiseAnswered:
		m.takePromises(e)
	case NewerTermReported:
		m.newerTerm(e.Cell, e.Term)
	case SyncedChanged:
		m.synced = slices.Sorted(slices.Values(e.VMs))
	case CellDrained:
		m.cellDrained(e.Cell)
	case StopRequested:
		m.stopping = true
	}
}

// decide emits the records and questions that are due.
func (m *Machine) decide() {
	if m.config.Rescuer {
		m.rescue()
		return
	}
	m.join()
	if m.joined == 0 {
		return
	}
	m.dropGone()
	m.drainLost()
	m.release()
	m.renew()
	m.claim()
	m.askPromises()
	m.leave()
}

func (m *Machine) emit(a Action) {
	m.out = append(m.out, a)
}

// cell returns the cell with a number, or nil if there is none.
func (m *Machine) cell(number int) *cell {
	if number < 0 || number >= len(m.cells) {
		return nil
	}
	return &m.cells[number]
}

// owns reports whether this VM owns the cell by the records read.
func (m *Machine) owns(c *cell) bool {
	return c.owner == m.config.VM && c.incarnation == m.config.Incarnation
}

// active reports whether this VM owns the cell and knows of no newer term.
func (m *Machine) active(c *cell) bool {
	return m.owns(c) && c.ownTerm != 0 && c.lostTerm == 0 && !m.superseded
}

// setMember replaces the process of a VM.
func (m *Machine) setMember(vm string, process *member) {
	if at, known := slices.BinarySearch(m.names, vm); !known {
		m.names = slices.Insert(m.names, at, vm)
	}
	m.members[vm] = process
}

// Config returns the settings of the machine.
func (m *Machine) Config() Config {
	return m.config
}

// Offset returns the offset of the last applied record.
func (m *Machine) Offset() int64 {
	return m.offset
}

// JoinOffset returns the offset of this VM's join record, 0 until it was read back.
func (m *Machine) JoinOffset() int64 {
	return m.joined
}

// Members returns the VMs that are members and not known gone, in ascending order.
func (m *Machine) Members() []string {
	var names []string
	for _, vm := range m.names {
		if !m.memberGone(vm) {
			names = append(names, vm)
		}
	}
	return names
}
