package tasks

import "time"

// Machine is the state machine of one cell. It is not safe for concurrent use.
type Machine struct {
	config Config
}

// New returns a machine that follows the stream from its first offset.
func New(config Config) *Machine {
	return &Machine{config: config}
}

// Step takes one event at local monotonic time now and returns the actions.
func (m *Machine) Step(_ time.Duration, _ Event) []Action {
	return nil
}

// Offset returns the offset of the last applied batch.
func (m *Machine) Offset() int64 { return 0 }

// Tasks returns all tasks of the cell in ascending order of id.
func (m *Machine) Tasks() []View { return nil }

// Task returns one task.
func (m *Machine) Task(_ string) (View, bool) { return View{}, false }

// Workers returns all workers of the cell in ascending order of id.
func (m *Machine) Workers() []WorkerView { return nil }

// Snapshot returns the stream state. Equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) { return nil, nil }

// Restore replaces the stream state by a snapshot. The next batch to apply is
// the one after Offset.
func (m *Machine) Restore(_ []byte) error { return nil }
