package ledger_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

func fuzzSubmission() *workload.Submission {
	return &workload.Submission{ID: "s", Queue: "q", Steps: []workload.Step{
		{Tasks: 2, Request: hostapi.Resources{MilliCPU: 1}}, {Tasks: 1, Gang: true, After: []int{0}},
	}}
}

func seed(f *testing.F, r *ledgerpb.Record) {
	data, err := ledger.Encode(r)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
}

// Guards against a record of the log that ends the process of every owner that reads
// it: a step with a negative number of tasks, a task that does not exist, or bytes
// that are no record.
func FuzzApplyRecord(f *testing.F) {
	bad := ledger.SubmittedRecord(fuzzSubmission())
	bad.Submitted.Id, bad.Submitted.Steps[0].Tasks = "t", -1
	seed(f, bad)
	cyclic := ledger.SubmittedRecord(fuzzSubmission())
	cyclic.Submitted.Id, cyclic.Submitted.Steps[0].After = "u", []int32{7}
	seed(f, cyclic)
	seed(f, ledger.CancelledRecord("s"))
	task := workload.TaskID{Submission: "s", Occurrence: -1, Step: 9, Index: -3}
	seed(f, ledger.PlacedRecord(workload.RunID{Task: task, Run: 1}, workload.Incarnation{}, ""))
	seed(f, ledger.EndedRecord(workload.RunID{Task: task, Run: 1}, workload.Succeeded, "c"))
	e := ledger.New().Apply(ledger.SubmittedRecord(fuzzSubmission()))
	seed(f, ledger.ReleasedRecord(e.Task(workload.TaskID{Submission: "s"}), -1, ""))
	transferred := ledger.TransferredRecord(e, e.Task(workload.TaskID{Submission: "s"}))
	transferred.Transferred.Tasks[0].Index = 9
	seed(f, transferred)
	f.Fuzz(func(_ *testing.T, data []byte) {
		l := ledger.New()
		l.Apply(ledger.SubmittedRecord(fuzzSubmission()))
		r, err := ledger.Decode(data)
		if err != nil {
			return
		}
		if e := l.Apply(r); e != nil {
			e.Objective()
			e.Occurrence(0).Ready(e.Steps, 0)
		}
		l.Snapshot(ledger.Offsets{})
	})
}

// Guards against a snapshot that ends the process of the node that takes a cell over.
func FuzzApplySnapshot(f *testing.F) {
	l := ledger.New()
	l.Apply(ledger.SubmittedRecord(fuzzSubmission()))
	part := l.Snapshot(ledger.Offsets{Cell: 1, Intake: 1})[0]
	add := func() {
		data, err := proto.Marshal(part)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	add()
	withChecksum, err := ledger.EncodeSnapshot([]*ledgerpb.Snapshot{part})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(withChecksum[0])
	part.Live[0].Submitted.Steps[0].Tasks = -1
	add()
	f.Fuzz(func(_ *testing.T, data []byte) {
		parts, err := ledger.DecodeSnapshot([][]byte{data})
		if err != nil {
			return
		}
		l := ledger.New()
		l.ApplySnapshot(parts)
		for _, e := range l.Live() {
			if len(e.Steps) > 0 {
				e.Occurrence(0)
			}
		}
	})
}
