package replay

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/tasks"
	"github.com/cactusreel/cactusreel/trace"
)

// maxWorkCount limits the tasks of one declared work in a trace; it covers all
// batch tasks of the planned scale.
const maxWorkCount = 200_000

// Errors of task events.
var (
	errWorkCount  = fmt.Errorf(`"count" is not from 0 to %d`, maxWorkCount)
	errNilRecord  = errors.New("a record is null")
	errTasksState = errors.New(`a pattern of tasks state needs "task", "worker" or "offset"`)
)

// tasksMachine replays package tasks, and package record for the snapshots of the
// task stream.
type tasksMachine struct {
	machine *tasks.Machine
	events  []tasks.Event
	chunks  record.Assembler
}

func newTasksMachine(config json.RawMessage) (machine, error) {
	c := tasks.DefaultConfig("", "", 0)
	if err := trace.DecodeStrict(config, &c); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if c.VM == "" {
		return nil, errors.New("config: VM is missing")
	}
	return &tasksMachine{machine: tasks.New(c), events: tasks.Events()}, nil
}

func (m *tasksMachine) step(now time.Duration, event string, data json.RawMessage) ([]action, error) {
	if done, actions, err := stepSnapshot(&m.chunks, event, data, m.restore); done {
		return actions, err
	}
	ev, err := decodeEvent(m.events, event, data)
	if err != nil {
		return nil, err
	}
	if err := checkTaskEvent(ev); err != nil {
		return nil, fmt.Errorf("event %s: %w", event, err)
	}
	return toActions(m.machine.Step(now, ev)), nil
}

// restore restores a snapshot that is newer than the applied records, and reports
// whether it did. A snapshot without an offset (covered is 0) is always restored.
func (m *tasksMachine) restore(data []byte, covered int64) (bool, error) {
	if covered != 0 && covered <= m.machine.Offset() {
		return false, nil
	}
	err := m.machine.Restore(data)
	return err == nil, err
}

// checkTaskEvent rejects declared work with too many tasks, and null records.
func checkTaskEvent(ev tasks.Event) error {
	switch e := ev.(type) {
	case tasks.WorkChanged:
		if e.Work.Count < 0 || e.Work.Count > maxWorkCount {
			return errWorkCount
		}
	case tasks.Applied:
		for _, r := range e.Records {
			if r == nil {
				return errNilRecord
			}
		}
	}
	return nil
}

// state returns the task, the worker or the offset that the pattern selects. A
// task that the machine does not have is returned as its name with the status
// "absent".
func (m *tasksMachine) state(_ time.Duration, pattern object) (any, error) {
	if id, ok := pattern.stringField("task"); ok {
		if v, ok := m.machine.Task(id); ok {
			return v, nil
		}
		return tasks.View{Task: id, Status: "absent"}, nil
	}
	if pattern.has("offset") {
		return map[string]any{"offset": m.machine.Offset()}, nil
	}
	id, ok := pattern.stringField("worker")
	if !ok {
		return nil, errTasksState
	}
	for _, w := range m.machine.Workers() {
		if w.ID == id {
			return workerState{Worker: id, WorkerView: w}, nil
		}
	}
	return map[string]any{}, nil
}

func (m *tasksMachine) dump(time.Duration) any {
	return tasksDump{Offset: m.machine.Offset(), Tasks: m.machine.Tasks(), Workers: m.machine.Workers()}
}
