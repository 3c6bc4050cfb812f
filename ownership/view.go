package ownership

import "time"

// State is the ownership state of this VM for a cell.
type State string

// States of design 3.8.
const (
	// StateNone means that this VM does not own the cell.
	StateNone State = "none"
	// StateWaiting means that the lease is valid after a claim by expiry, but
	// requests of the previous owner may still use slots. Tasks may be placed.
	StateWaiting State = "waiting"
	// StateHeld means that the lease is valid.
	StateHeld State = "held"
	// StateVouched means that the lease has expired and every VM that could
	// claim the cell has promised not to.
	StateVouched State = "vouched"
	// StateReduced means that the lease has expired without valid promises from
	// all VMs that could claim the cell, or that the lease has not begun.
	StateReduced State = "reduced"
	// StateLost means that a newer term has superseded the ownership and its
	// requests are draining.
	StateLost State = "lost"
	// StateRescue means that this VM may only move the cell's tasks to other
	// cells.
	StateRescue State = "rescue"
)

// PreviousOwner identifies the ownership that a newer term has replaced.
type PreviousOwner struct {
	VM          string `json:"vm,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Term        int64  `json:"term,omitempty"`
}

// View is a machine's view of one cell.
type View struct {
	Cell int `json:"cell"`
	// Owner is the VM that owns the cell according to the records read, or "".
	Owner string `json:"owner,omitempty"`
	// Incarnation identifies the owner's process.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Term is the offset of the record that started the ownership. It is the fencing
	// token of the owner's commands.
	Term int64 `json:"term"`
	// OwnState is the ownership state of this VM.
	OwnState State `json:"own"`
	// OwnTerm is the term of this VM's ownership in every state but
	// StateNone. In StateLost it is below the newest term.
	OwnTerm int64 `json:"ownTerm,omitempty"`
	// Previous is the ownership before Term; the zero value if there was none.
	Previous PreviousOwner `json:"previous"`
	// FullUntil is the end of the lease, or of the promises in StateVouched, on
	// the local clock. After it at most ReducedSlots may be used.
	FullUntil time.Duration `json:"fullUntil,omitempty"`
	// WaitUntil is the end of StateWaiting on the local clock.
	WaitUntil time.Duration `json:"waitUntil,omitempty"`
	// Releasing is set while the cell is drained for its release: no new request
	// may be sent to its workers.
	Releasing bool `json:"releasing,omitempty"`
	// Slots is the number of slots of each worker that this VM may use now.
	Slots int `json:"slots"`
	// PlaceUntil is the end of the authority to place tasks on the local clock,
	// regardless of freshness. The authority is valid while now is before it.
	PlaceUntil time.Duration `json:"placeUntil"`
	// Predecessors is the number of previous owners that may still use slots,
	// because they are not known gone.
	Predecessors int `json:"predecessors"`
	// Renewers is the number of previous owners that may still renew task leases:
	// the predecessors and those that released the cell but have not yet
	// acknowledged the new term.
	Renewers int `json:"renewers"`
}

// View returns the view of a cell at local time now.
func (m *Machine) View(now time.Duration, number int) View {
	v := View{Cell: number, OwnState: StateNone}
	c := m.cell(number)
	if c == nil {
		return v
	}
	v.Owner, v.Incarnation, v.Term = c.owner, c.incarnation, c.term
	v.Previous = c.previous
	v.Predecessors = c.slotPredecessors()
	v.Renewers = len(c.predecessors)
	v.OwnState = m.state(now, c)
	if v.OwnState == StateNone {
		return v
	}
	v.OwnTerm = c.ownTerm
	v.Releasing = c.releasing
	v.FullUntil = m.fullUntil(now, c, v.OwnState)
	if v.OwnState == StateWaiting {
		v.WaitUntil = c.waitUntil
	}
	v.Slots = m.slots(now, c, v.OwnState)
	if m.activeOwner(c) && !c.rescue && !c.releasing {
		v.PlaceUntil = c.leaseEnd
	}
	return v
}

// fullUntil returns the end of the lease, or in StateVouched of the promises,
// which permits the full number of slots.
func (m *Machine) fullUntil(now time.Duration, c *cell, s State) time.Duration {
	if s != StateVouched {
		return c.leaseEnd
	}
	end := now + m.config.PromiseLife
	for _, vm := range m.claimants() {
		end = min(end, c.promiseRequestedAt[vm]+m.config.PromiseLife)
	}
	return end
}

func (m *Machine) state(now time.Duration, c *cell) State {
	switch {
	case c.ownTerm == 0 || m.left:
		return StateNone
	case !m.activeOwner(c):
		return StateLost
	case c.rescue:
		return StateRescue
	case now < c.leaseEnd && now < c.waitUntil:
		return StateWaiting
	case now < c.leaseEnd:
		return StateHeld
	case c.leaseEnd != 0 && m.allClaimantsPromised(now, c):
		return StateVouched
	}
	return StateReduced
}

// slots returns the number of slots of each worker that this VM may use in
// state s.
func (m *Machine) slots(now time.Duration, c *cell, s State) int {
	if c.releaseSent || now < c.waitUntil {
		return 0
	}
	full := SlotsPerWorker
	if !m.config.Unsafe.NoPredecessors {
		full = max(0, SlotsPerWorker-ReducedSlots*c.slotPredecessors())
	}
	switch s {
	case StateHeld, StateVouched:
		return full
	case StateReduced:
		return min(ReducedSlots, full)
	}
	return 0
}

// reportViews inserts a CellChanged for each changed view before the other
// actions of the step: an acknowledgement must not be written before the
// authority that it gives up has ended.
func (m *Machine) reportViews() {
	var changed []Action
	for i := range m.cells {
		v := m.View(m.now, i)
		if v == m.reportedViews[i] {
			continue
		}
		m.reportedViews[i] = v
		changed = append(changed, CellChanged{View: v})
	}
	m.actions = append(changed, m.actions...)
}
