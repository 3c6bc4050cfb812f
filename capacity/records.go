package capacity

import (
	"fmt"

	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/writer"
)

// sampleRecords returns a typical record of each kind that the daemon writes
// regularly.
func sampleRecords() []namedRecord {
	task := "nightly-import-00001/53400/17"
	worker := dataCentreName(0) + "-worker-0017"
	amount := &recordpb.Amount{MilliCpu: 1500, MemoryMib: 4096}
	op, _ := resources.NewPut("operation-0123456789abcdef", jobResource(1), resources.Precondition{})
	return []namedRecord{
		{"placed", &recordpb.Record{Term: 5_000_000, Placed: &recordpb.Placed{Task: task, Attempt: 1, Worker: worker, Boot: "0123456789abcdef", Requests: amount}}},
		{"ended", &recordpb.Record{Term: 5_000_000, Ended: &recordpb.Ended{Task: task, Attempt: 1, Outcome: recordpb.Outcome_OUTCOME_COMPLETED}}},
		{"evicting", &recordpb.Record{Term: 5_000_000, Evicting: &recordpb.Evicting{Task: task, Attempt: 1}}},
		{"checkpoint", &recordpb.Record{Term: 5_000_000, Checkpoint: &recordpb.Checkpoint{Task: task, Attempt: 1, Name: task + "/1/3"}}},
		{"moved", &recordpb.Record{Term: 5_000_000, Moved: &recordpb.Moved{Task: task, Attempt: 1, To: &recordpb.Cell{DataCentre: dataCentreName(1), Cell: 3}, Move: 1}}},
		{"adopted", &recordpb.Record{Term: 5_000_000, Adopted: &recordpb.Adopted{Task: task, Attempt: 1, Move: 1, From: &recordpb.Cell{DataCentre: dataCentreName(1), Cell: 3}}}},
		{"renew (2 cells, 2 synced)", &recordpb.Record{Renew: &recordpb.Renew{
			Vm: vmName(0), Incarnation: 1 << 63, Joined: 4_000_000, Number: 50_000, Read: 5_000_000, Synced: syncedMembers(),
			Cells: []*recordpb.CellTerm{{Cell: 3, Term: 5_000_000}, {Cell: 11, Term: 5_000_001}},
		}}},
		{"claim", &recordpb.Record{Claim: &recordpb.Claim{Vm: vmName(0), Incarnation: 1 << 63, Joined: 4_000_000, Cell: 3, Expects: 5_000_000, Number: 1}}},
		{"put of a job", &recordpb.Record{Operation: &recordpb.Operation{Id: op.ID, Verb: recordpb.Verb_VERB_PUT, Kind: string(op.Kind), Name: op.Name, Body: op.Body}}},
	}
}

// namedRecord is a record with the name of its kind.
type namedRecord struct {
	name   string
	record *recordpb.Record
}

// measureRecords measures the size of each kind of record, alone and in a batch,
// and the processor time to encode and decode it.
func measureRecords(r *Report) error {
	var rows [][]string
	for _, s := range sampleRecords() {
		item, err := record.Encode(s.record)
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		batch := writer.Frame([][]byte{item, item, item, item})
		encode := costPerCall(func(int) { _, _ = record.Encode(s.record) })
		decode := costPerCall(func(int) { _, _ = record.DecodeBatch(batch) })
		rows = append(rows, []string{
			s.name, fmt.Sprint(len(item)), fmt.Sprintf("%.1f", float64(len(batch))/4),
			fmt.Sprintf("%.0f", encode), fmt.Sprintf("%.0f", decode/4),
		})
	}
	r.addTable("Log records", []string{"kind", "bytes", "bytes in a batch of 4", "encode, ns", "decode, ns"}, rows)
	return nil
}

// sampleRecordsOf returns the sample record of a kind.
func sampleRecordsOf(kind string) []*recordpb.Record {
	for _, s := range sampleRecords() {
		if s.name == kind {
			return []*recordpb.Record{s.record}
		}
	}
	return nil
}
