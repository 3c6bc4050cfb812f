package ledger

import "github.com/cactusreel/cactusreel/workload"

// Task is the durable state of one task.
type Task struct {
	ID workload.TaskID
	// Done is true if a run of the task, or of another member of its gang,
	// succeeded.
	Done bool
	// Run is the number of the newest run that was placed, or 0 if there is none.
	Run int64
	// Open is true if Run has been placed and its end is not recorded.
	Open bool
	// PlacedOn is the worker incarnation on which Run was placed.
	PlacedOn workload.Incarnation
	// PlacedAt is the address of that worker, or "" if it is not recorded.
	PlacedAt string
	// Order numbers the placements of the cell. When Run was placed, its worker had outlasted
	// the starts of all runs there that were placed before FreshFrom.
	Order, FreshFrom int64
	// EndsConnections: that worker ends its connections, so its next incarnation may carry out
	// the start of Run.
	EndsConnections bool
	// Failures is the number of runs that ended with Errored. The first member of a gang has
	// that of the gang; the others have what it was when their newest run was placed.
	Failures int
	// Checkpoint is the newest recorded checkpoint, or "" if there is none; see
	// Entry.CheckpointOf. While Run has not ended, its starts carry it, unless another member
	// of its gang has ended since.
	Checkpoint string
	// Transfer is the number of the task's last transfer from or to this cell, or 0 if
	// there was none.
	Transfer int64
	// Away is true if another cell has the task. If Transfer is not 0, this cell had it
	// and released it to the cell ReleasedTo or, as a guest, finished it and returned it
	// to the cell of the submission.
	Away       bool
	ReleasedTo int
	// CrashRecord says whether the task may crash its workers. That of a gang is kept on
	// the first member.
	CrashRecord
}

// Returned reports whether a guest has finished the task and returned it to the cell of
// the submission.
func (e *Entry) Returned(t *Task) bool {
	return e.guest && t.Away && t.Transfer > 0 && (t.Done || e.hopeless(t))
}

// closeRun marks the end of the task's run as recorded.
func (t *Task) closeRun() {
	t.Open, t.PlacedOn, t.PlacedAt = false, workload.Incarnation{}, ""
	t.Order, t.FreshFrom, t.EndsConnections = 0, 0, false
}
