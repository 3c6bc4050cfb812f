package ledger

import "github.com/cactusreel/cactusreel/workload"

// Task is the durable state of one task.
type Task struct {
	ID workload.TaskID
	// Done means that a run succeeded, or one of its gang.
	Done bool
	// Run is the highest run that was placed; 0 if none was.
	Run int64
	// Open means that the end of Run is not recorded.
	Open bool
	// PlacedOn is the worker's life that Run was placed on.
	PlacedOn workload.Incarnation
	// Failures counts the runs that ended Errored.
	Failures int
	// Checkpoint is the newest recorded checkpoint, or "".
	Checkpoint string
}

// close notes that the end of the task's run is recorded.
func (t *Task) close() { t.Open, t.PlacedOn = false, workload.Incarnation{} }
