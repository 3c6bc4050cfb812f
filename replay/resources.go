package replay

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/trace"
)

// resourcesMachine replays package resources. Each operation of an applied record
// gives the action "Outcome"; a record that follows a gap in the offsets gives
// "Gap".
type resourcesMachine struct {
	store  *resources.Store
	chunks record.Assembler
}

func newResourcesMachine(config json.RawMessage) (machine, error) {
	var limits resources.Limits
	if err := trace.DecodeStrict(config, &limits); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return &resourcesMachine{store: resources.New(limits)}, nil
}

func (m *resourcesMachine) step(_ time.Duration, event string, data json.RawMessage) ([]action, error) {
	if done, actions, err := stepSnapshot(&m.chunks, event, data, m.restore); done {
		return actions, err
	}
	ev, err := decodeEvent([]trace.OperationsApplied{{}}, event, data)
	if err != nil {
		return nil, err
	}
	outcomes, err := m.store.Apply(ev.Offset, ev.ResourceOperations()...)
	if errors.Is(err, resources.ErrGap) {
		return []action{{name: "Gap", content: map[string]any{"offset": ev.Offset}}}, nil
	}
	if err != nil {
		return nil, err
	}
	actions := make([]action, 0, len(outcomes))
	for _, o := range outcomes {
		actions = append(actions, action{name: "Outcome", content: outcomeAction{Outcome: o, Name: o.Code.String(), Duplicate: o.Duplicate}})
	}
	return actions, nil
}

func (m *resourcesMachine) restore(data []byte, _ int64) (bool, error) {
	return m.store.Restore(data)
}

// state returns the resource that the pattern selects, the result of a watch, or
// the offset.
func (m *resourcesMachine) state(_ time.Duration, pattern object) (any, error) {
	view := m.store.View()
	if pattern.has("watchFrom") {
		return watchStateFrom(view, pattern)
	}
	if pattern.has("offset") {
		return map[string]any{"offset": view.Offset()}, nil
	}
	kind, ok := pattern.stringField("kind")
	name, named := pattern.stringField("name")
	if !ok || !named {
		return nil, fmt.Errorf(`a pattern of resources state needs "kind" and "name", "watchFrom" or "offset"`)
	}
	state := resourceState{Kind: api.Kind(kind), Name: name}
	if r, ok := view.Get(state.Kind, name); ok {
		state.Exists, state.Version, state.Content = true, r.Version, &r
	}
	return state, nil
}

// watchStateFrom returns the result of a watch from the version that the pattern
// names.
func watchStateFrom(view *resources.View, pattern object) (any, error) {
	from, err := pattern.intField("watchFrom")
	if err != nil {
		return nil, err
	}
	events, err := view.Events("", api.Version(from))
	code := result.OK
	if err != nil {
		code = result.CodeOf(err, result.ListAgain)
	}
	return watchState{WatchFrom: int64(from), Code: code.String(), Events: len(events)}, nil
}

// dump returns the resources of all kinds.
func (m *resourcesMachine) dump(time.Duration) any {
	view := m.store.View()
	all := map[string]any{"offset": view.Offset()}
	for _, kind := range api.Kinds() {
		all[string(kind)] = view.List(kind)
	}
	return all
}
