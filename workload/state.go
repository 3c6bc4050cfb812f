package workload

// State is the state of a submission that callers see.
type State int32

// States of a submission. Unknown means that no record of the submission has
// been read.
const (
	Unknown State = iota
	Queued
	Running
	Completed
	Failed
	Cancelled
	// LastState is the highest state.
	LastState = Cancelled
)

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s >= Completed }

// String returns the state's name.
func (s State) String() string {
	return [...]string{"unknown", "queued", "running", "completed", "failed", "cancelled"}[s]
}
