package record

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// Encode returns a record without its length, as package writer takes it. The
// writer's frame adds the length, which makes it a part of a batch. It returns
// ErrBadBatch if the record doesn't have exactly one body.
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
