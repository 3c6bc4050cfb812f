package workload

// State is what callers are told of a submission.
type State int32

// States of a submission. Unknown means that no record of it was read.
const (
	Unknown State = iota
	Queued
	Running
	Completed
	Failed
	Cancelled
)

// Final tells that the state can't change any more.
func (s State) Final() bool { return s >= Completed }

// String returns the state's name.
func (s State) String() string {
	return [...]string{"unknown", "queued", "running", "completed", "failed", "cancelled"}[s]
}
