package ledger

// CheckpointOf returns the checkpoint from which the next run of a task resumes, or "" if there is
// none. It is the same for all members of a gang, also where an earlier version, which recorded
// checkpoints for each member alone, has left different ones.
func (e *Entry) CheckpointOf(t *Task) string {
	if !e.Steps[t.ID.Step].Gang {
		return t.Checkpoint
	}
	for i := range e.stepOf(t).Tasks {
		if checkpoint := e.stepOf(t).Tasks[i].Checkpoint; checkpoint != "" {
			return checkpoint
		}
	}
	return ""
}

// setCheckpoint notes a recorded checkpoint of a task, or nothing if it is "". That of one member of
// a gang is valid for all members.
func (e *Entry) setCheckpoint(t *Task, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if !e.Steps[t.ID.Step].Gang {
		t.Checkpoint = checkpoint
		return
	}
	members := e.stepOf(t).Tasks
	for i := range members {
		members[i].Checkpoint = checkpoint
	}
}

// newestRun returns the number of the newest run of a task, or of its gang.
func (e *Entry) newestRun(t *Task) int64 {
	newest := t.Run
	if e.Steps[t.ID.Step].Gang {
		for i := range e.stepOf(t).Tasks {
			newest = max(newest, e.stepOf(t).Tasks[i].Run)
		}
	}
	return newest
}
