package tasks_test

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/tasks"
)

// traced is the interface of the events and actions of all machines.
type traced interface{ Type() string }

type traceLine struct {
	Now  time.Duration
	Type string
	Body json.RawMessage
	Want []string
}

func encodeTraced(v traced) string {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return v.Type() + " " + string(body)
}

func encodeAll[T traced](actions []T) []string {
	lines := make([]string, 0, len(actions))
	for _, a := range actions {
		lines = append(lines, encodeTraced(a))
	}
	return lines
}

// decode decodes the event of a trace line into the prototype of its type.
func decode[T traced](t *testing.T, prototypes []T, line traceLine) T {
	t.Helper()
	for _, p := range prototypes {
		if p.Type() != line.Type {
			continue
		}
		v := reflect.New(reflect.TypeOf(p))
		if err := json.Unmarshal(line.Body, v.Interface()); err != nil {
			t.Fatal(err)
		}
		return v.Elem().Interface().(T)
	}
	t.Fatalf("no event has the type %q", line.Type)
	panic("unreachable")
}

// Guards against events that are not fully encoded in a trace, and against
// machines whose actions depend on anything but their events, such as the
// iteration order of a map.
func TestTraceReplayGivesTheSameActions(t *testing.T) {
	is := is.New(t)
	plan := genPlan(allFaults...).Example(5)
	lines := make(map[any][]traceLine)
	s := &sim{trace: func(machine any, now time.Duration, ev traced, actions []string) {
		body, err := json.Marshal(ev)
		is.NoErr(err)
		lines[machine] = append(lines[machine], traceLine{Now: now, Type: ev.Type(), Body: body, Want: actions})
	}}
	is.NoErr(s.run(plan, tasks.Unsafe{}, ownership.Unsafe{}))
	replayed := 0
	for machine, trace := range lines {
		switch machine := machine.(type) {
		case *ownership.Machine:
			replay := ownership.New(machine.Config())
			for _, line := range trace {
				is.Equal(encodeAll(replay.Step(line.Now, decode(t, ownership.Events(), line))), line.Want)
			}
		case *tasks.Machine:
			replay := tasks.New(machine.Config())
			if s.restored[machine] != nil {
				is.NoErr(replay.Restore(s.restored[machine]))
			}
			for _, line := range trace {
				is.Equal(encodeAll(replay.Step(line.Now, decode(t, tasks.Events(), line))), line.Want)
			}
		}
		replayed += len(trace)
	}
	is.True(replayed > 10_000)
}
