package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a submission that is live although its cancellation precedes it in the
// log: the append of a submission may be carried out after others.
func TestCancellationBeforeTheSubmission(t *testing.T) {
	is := is.New(t)
	l := ledger.New()
	is.True(l.Apply(ledger.CancelledRecord("s")) == nil)
	is.True(l.Find("s") == nil) // callers are told that there is no such submission
	e := l.Apply(ledger.SubmittedRecord(submission("s")))
	is.Equal(e.State(), workload.Cancelled)
	is.Equal(len(l.Live()), 0)
	is.Equal(l.Apply(ledger.SubmittedRecord(submission("other"))).State(), workload.Queued)
}

// Guards against a guest that is live although its cancellation precedes its transfer.
func TestCancellationBeforeTheTransfer(t *testing.T) {
	is := is.New(t)
	home, other := ledger.New(), ledger.New()
	e := home.Apply(ledger.SubmittedRecord(longRunning("s")))
	moved := e.Task(task("s", 0, 1))
	home.Apply(ledger.ReleasedRecord(moved, 1, ""))
	other.Apply(ledger.CancelledRecord("s"))
	is.Equal(other.Apply(ledger.TransferredRecord(e, moved)).State(), workload.Cancelled)
}

// Guards against a successor that starts from a snapshot and does not know that a
// submission was cancelled before its append was carried out.
func TestSnapshotHoldsEarlyCancellations(t *testing.T) {
	is := is.New(t)
	l := ledger.New()
	l.Apply(ledger.CancelledRecord("s"))
	restored := restoreSnapshot(is, l, ledger.Offsets{})
	is.True(restored.Find("s") == nil)
	restored = restoreSnapshot(is, restored, ledger.Offsets{})
	is.Equal(restored.Apply(ledger.SubmittedRecord(submission("s"))).State(), workload.Cancelled)

	// A node that has read the submission already, but not the cancellation before it.
	ahead := ledger.New()
	e := ahead.Apply(ledger.SubmittedRecord(submission("s")))
	ahead.ApplySnapshot(l.Snapshot(ledger.Offsets{}))
	is.Equal(e.State(), workload.Cancelled)
}

// Guards against early cancellations that stay for ever, or fill the memory because a
// caller cancels ids that no submission ever has.
func TestEarlyCancellationsAreLimited(t *testing.T) {
	is := is.New(t)
	l := ledger.New()
	l.Apply(ledger.CancelledRecord("old"))
	l.Sweep(time.Minute, time.Minute)
	l.Apply(ledger.CancelledRecord("new"))
	l.Sweep(2*time.Minute+time.Second, time.Minute)
	is.Equal(l.Apply(ledger.SubmittedRecord(submission("old"))).State(), workload.Queued)
	is.Equal(l.Apply(ledger.SubmittedRecord(submission("new"))).State(), workload.Cancelled)

	const flood = 50_000
	for i := range flood {
		l.Apply(ledger.CancelledRecord(fmt.Sprint(i)))
	}
	bytes := 0
	for _, p := range l.Snapshot(ledger.Offsets{}) {
		bytes += len(p.Settled) * 24
	}
	is.True(bytes < 300_000)
	is.Equal(l.Apply(ledger.SubmittedRecord(submission(fmt.Sprint(flood-1)))).State(), workload.Cancelled)
	is.Equal(l.Apply(ledger.SubmittedRecord(submission("0"))).State(), workload.Queued)
}
