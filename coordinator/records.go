package coordinator

import (
	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

func encodeSubmitted(s *workload.Submission) []byte { return mustEncode(ledger.SubmittedRecord(s)) }

// encodeCancelled encodes the cancellation of a submission to a queue, or to any queue if the name is "".
func encodeCancelled(id, queue string) []byte {
	return mustEncode(ledger.QueueCancelledRecord(id, queue))
}

// mustEncode encodes a record. Encoding fails only for strings that are not valid
// UTF-8, which the adapter rejects.
func mustEncode(r *ledgerpb.Record) []byte {
	data, err := proto.Marshal(r)
	if err != nil {
		panic(err)
	}
	return data
}
