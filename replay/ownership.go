package replay

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/trace"
)

// maxCells limits the cells of a data centre in a trace; the design plans 16.
const maxCells = 4096

// ownershipMachine replays package ownership.
type ownershipMachine struct {
	machine *ownership.Machine
	events  []ownership.Event
	cells   int
}

func newOwnershipMachine(config json.RawMessage) (machine, error) {
	c := ownership.DefaultConfig("", "", 0, 1)
	if err := trace.DecodeStrict(config, &c); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if c.VM == "" || c.Cells < 1 || c.Cells > maxCells {
		return nil, fmt.Errorf("config: VM is missing or Cells is not from 1 to %d", maxCells)
	}
	return &ownershipMachine{machine: ownership.New(c), events: ownership.Events(), cells: c.Cells}, nil
}

func (m *ownershipMachine) step(now time.Duration, event string, data json.RawMessage) ([]action, error) {
	ev, err := decodeEvent(m.events, event, data)
	if err != nil {
		return nil, err
	}
	return toActions(m.machine.Step(now, ev)), nil
}

// state returns the view of the cell that the pattern selects, or the members.
func (m *ownershipMachine) state(now time.Duration, pattern object) (any, error) {
	if pattern.has("members") {
		return map[string]any{"members": m.machine.Members()}, nil
	}
	cell, err := pattern.intField("cell")
	if err != nil {
		return nil, fmt.Errorf(`a pattern of ownership state needs "cell" or "members": %w`, err)
	}
	return m.machine.View(now, cell), nil
}

func (m *ownershipMachine) dump(now time.Duration) any {
	views := make([]ownership.View, 0, m.cells)
	for cell := range m.cells {
		views = append(views, m.machine.View(now, cell))
	}
	return views
}
