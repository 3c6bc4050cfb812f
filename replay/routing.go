package replay

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/routing"
	"github.com/cactusreel/cactusreel/trace"
)

// maxSlots limits the slots of a worker in a trace; workers of the platform have 8.
const maxSlots = 4096

// Errors of routing events.
var (
	errSlots          = fmt.Errorf("the number of a worker's slots is not from 1 to %d", maxSlots)
	errAuthorityState = errors.New(`"state" is not "lost", "held", "vouched" or "reduced"`)
	errNoSlot         = errors.New("no request with this label holds a slot")
	errHasSlot        = errors.New("a request with this label already holds a slot")
)

// routingMachine replays package routing.
type routingMachine struct {
	router *routing.Router
	events []trace.Event
	// slots holds the slots in use by the request's label.
	slots map[string]routing.Slot
	// cells holds the cells for which an authority was set.
	cells map[int]bool
}

func newRoutingMachine(config json.RawMessage) (machine, error) {
	if err := trace.DecodeStrict(config, &struct{}{}); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return &routingMachine{router: routing.New(), events: trace.RoutingEvents(), slots: make(map[string]routing.Slot), cells: make(map[int]bool)}, nil
}

func (m *routingMachine) step(now time.Duration, event string, data json.RawMessage) ([]action, error) {
	ev, err := decodeEvent(m.events, event, data)
	if err != nil {
		return nil, err
	}
	switch e := ev.(type) {
	case trace.TableUpdated:
		return nil, m.updateTable(now, e.Snapshot)
	case trace.AuthoritySet:
		return nil, m.setAuthority(e)
	case trace.RequestRouted:
		return m.route(now, e)
	}
	return m.stepSlot(now, ev)
}

func (m *routingMachine) updateTable(now time.Duration, s routing.Snapshot) error {
	for _, w := range s.Workers {
		if w.Slots < 1 || w.Slots > maxSlots {
			return errSlots
		}
	}
	s.Now = now
	m.router.Update(s)
	return nil
}

func (m *routingMachine) setAuthority(e trace.AuthoritySet) error {
	for _, state := range []routing.OwnerState{routing.Lost, routing.Held, routing.Vouched, routing.Reduced} {
		if state.String() != e.State {
			continue
		}
		m.cells[e.Cell] = true
		m.router.SetAuthority(e.Cell, routing.Authority{
			Term: e.Term, State: state, FullUntil: e.FullUntil,
			UsableFrom: e.UsableFrom, Predecessors: e.Predecessors,
		})
		return nil
	}
	return errAuthorityState
}

func (m *routingMachine) route(now time.Duration, e trace.RequestRouted) ([]action, error) {
	if _, ok := m.slots[e.Request]; ok {
		return nil, errHasSlot
	}
	q := routing.Request{Service: e.Service, Caller: e.Caller, Random: e.Random, Criticality: routing.Criticality(e.Criticality)}
	if e.OwnCells {
		q.Scope = routing.OwnCells
	}
	chosen := m.router.Choose(now, &q)
	d := routingDecision{Request: e.Request, Code: chosen.Code.String()}
	switch {
	case chosen.Code != result.OK:
	case chosen.Peer != nil:
		d.Peer = chosen.Peer.VM
	default:
		d.Worker, d.Term = chosen.Slot.Server.Worker().ID(), chosen.Slot.Term
		m.slots[e.Request] = chosen.Slot
	}
	return []action{{name: "Decision", content: d}}, nil
}

// stepSlot handles the events of a request that holds a slot.
func (m *routingMachine) stepSlot(now time.Duration, ev trace.Event) ([]action, error) {
	label := ""
	switch e := ev.(type) {
	case trace.SlotUsed:
		label = e.Request
	case trace.SlotReleased:
		label = e.Request
	case trace.SlotAbandoned:
		label = e.Request
	case trace.ServerLeaving:
		label = e.Request
	}
	slot, ok := m.slots[label]
	if !ok {
		return nil, errNoSlot
	}
	switch e := ev.(type) {
	case trace.SlotUsed:
		return []action{{name: "Slot", content: slotValidity{Request: label, Valid: slot.Valid(now)}}}, nil
	case trace.SlotReleased:
		slot.Release()
		delete(m.slots, label)
	case trace.SlotAbandoned:
		slot.Abandon(e.Until)
		delete(m.slots, label)
	case trace.ServerLeaving:
		slot.Server.MarkLeaving()
	}
	return nil, nil
}

// state returns the state of the cell that the pattern selects.
func (m *routingMachine) state(now time.Duration, pattern object) (any, error) {
	cell, err := pattern.intField("cell")
	if err != nil {
		return nil, fmt.Errorf(`a pattern of routing state needs "cell": %w`, err)
	}
	return m.cellState(now, cell), nil
}

// dump returns the state of all cells for which an authority was set.
func (m *routingMachine) dump(now time.Duration) any {
	var all []routingState
	for _, cell := range slices.Sorted(maps.Keys(m.cells)) {
		all = append(all, m.cellState(now, cell))
	}
	return all
}

func (m *routingMachine) cellState(now time.Duration, cell int) routingState {
	a := m.router.Authority(cell)
	return routingState{
		Cell:  cell,
		Term:  a.Term,
		State: a.StateAt(now).String(),
		Slots: a.SlotsAt(now, 8),
		InUse: m.router.SlotsInUse(cell, now),
	}
}
