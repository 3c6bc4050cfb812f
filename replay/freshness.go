package replay

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/freshness"
	"github.com/cactusreel/cactusreel/trace"
)

// freshnessMachine replays package freshness.
type freshnessMachine struct {
	machine *freshness.Machine
	events  []freshness.Event
}

func newFreshnessMachine(config json.RawMessage) (machine, error) {
	c := freshness.DefaultConfig()
	if err := trace.DecodeStrict(config, &c); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return &freshnessMachine{machine: freshness.New(c), events: freshness.Events()}, nil
}

func (m *freshnessMachine) step(now time.Duration, event string, data json.RawMessage) ([]action, error) {
	ev, err := decodeEvent(m.events, event, data)
	if err != nil {
		return nil, err
	}
	return toActions(m.machine.Step(now, ev)), nil
}

func (m *freshnessMachine) state(now time.Duration, _ object) (any, error) {
	until := m.machine.StartUntil()
	return freshnessState{StartUntil: until, MayStart: now < until, Head: m.machine.Head()}, nil
}

func (m *freshnessMachine) dump(now time.Duration) any {
	state, _ := m.state(now, nil)
	return state
}
