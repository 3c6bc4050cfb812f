package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// unrecordedCheckpoint is a checkpoint that a run reported before it was lost, or gone without an end.
// It is newer than the one in the ledger.
type unrecordedCheckpoint struct {
	name string
	// run is the number of the run that reported it, reportedAt the time of its last report.
	run        int64
	reportedAt time.Duration
}

// checkpointKey returns the task under which unrecorded checkpoints are kept: the first member of a
// gang, whose members share them.
func checkpointKey(e *ledger.Entry, id workload.TaskID) workload.TaskID {
	if e.Steps[id.Step].Gang {
		id.Index = 0
	}
	return id
}

// checkpointOf returns the checkpoint from which the next run of a task resumes, or "". It is the same
// for all members of a gang.
func (m *Machine) checkpointOf(e *ledger.Entry, t *ledger.Task) string {
	if kept, ok := m.checkpoints[checkpointKey(e, t.ID)]; ok {
		return kept.name
	}
	return e.CheckpointOf(t)
}

// keepCheckpoint keeps the checkpoint of a run whose end may never be listed, unless the recorded end
// of another member of its gang has a newer one: that member worked on until it was stopped.
func (m *Machine) keepCheckpoint(r *run) {
	if r.checkpoint == r.resumesFrom || r.entry.CheckpointOf(r.task) != r.resumesFrom {
		return
	}
	key := checkpointKey(r.entry, r.id.Task)
	if kept, ok := m.checkpoints[key]; ok && (kept.run > r.id.Run || kept.run == r.id.Run && kept.reportedAt > r.reportedAt) {
		return
	}
	m.checkpoints[key] = unrecordedCheckpoint{name: r.checkpoint, run: r.id.Run, reportedAt: r.reportedAt}
}

// forgetCheckpoint drops the unrecorded checkpoint of a task, or of its gang, because the log has one
// that holds for the run with a number, or for a later one.
func (m *Machine) forgetCheckpoint(e *ledger.Entry, id workload.TaskID, run int64) {
	if key := checkpointKey(e, id); m.checkpoints[key].run <= run {
		delete(m.checkpoints, key)
	}
}
