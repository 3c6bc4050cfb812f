package ledger_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a successor that reads a snapshot and counts a submission as pending again
// because the newest run of a task is not found, although the snapshot shows that one has begun.
func TestSnapshotShowsThatASubmissionIsNotPending(t *testing.T) {
	first, second := task("s", 0, 0), task("s", 0, 1)
	for name, test := range map[string]struct {
		records []*ledgerpb.Record
		pending int
	}{
		"no end":            {[]*ledgerpb.Record{placed(first, 1), placed(first, 2)}, 1},
		"failed run":        {[]*ledgerpb.Record{placed(first, 1), ended(first, 1, workload.Errored), placed(first, 2)}, 0},
		"checkpoint":        {[]*ledgerpb.Record{placed(first, 1), withCheckpoint(ended(first, 1, workload.Stopped)), placed(first, 2)}, 0},
		"in another cell":   {[]*ledgerpb.Record{placed(first, 1), ledger.ReleasedRecord(&ledger.Task{ID: second}, 1, "")}, 0},
		"end of other task": {[]*ledgerpb.Record{placed(first, 1), placed(second, 1), ended(second, 1, workload.Stopped)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := ledger.New()
			l.Apply(ledger.SubmittedRecord(longRunning("s")))
			for _, r := range test.records {
				l.Apply(r)
			}
			restored := restoreSnapshot(is, l, ledger.Offsets{})
			restored.Find("s").NoteRunNotFound()
			is.Equal(restored.Pending("q"), test.pending)
		})
	}
}

func withCheckpoint(r *ledgerpb.Record) *ledgerpb.Record {
	r.Ended.Checkpoint = "saved"
	return r
}
