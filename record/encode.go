package record

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// Encode encodes a record without a length prefix, as an item for package
// writer. The writer's FrameFunc adds the prefix when it builds a batch. Encode
// returns ErrBadBatch if the record doesn't have exactly one body.
func Encode(r *recordpb.Record) ([]byte, error) {
	if err := checkBody(r); err != nil {
		return nil, err
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadBatch, err)
	}
	return data, nil
}
