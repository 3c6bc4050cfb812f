package record_test

import (
	"fmt"

	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// Encodes a batch, which is the data of one log record, and decodes it.
func Example() {
	placed := &recordpb.Record{Term: 9, Placed: &recordpb.Placed{Task: "reports/7/0", Attempt: 1, Worker: "w1"}}
	batch, err := record.EncodeBatch([]*recordpb.Record{placed})
	if err != nil {
		fmt.Println(err)
		return
	}
	records, err := record.DecodeBatch(batch)
	fmt.Println(len(records), records[0].Placed.Task, err)
	// Output: 1 reports/7/0 <nil>
}
