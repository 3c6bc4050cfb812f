package record

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// Limits of a batch.
const (
	// MaxBatchBytes limits the size of an encoded batch.
	MaxBatchBytes = 1 << 20
	// MaxBatchRecords limits the number of records in a batch.
	MaxBatchRecords = 4096
)

// Errors of the batch codec.
var (
	// ErrBatchTooLarge means that a batch exceeds MaxBatchBytes or MaxBatchRecords.
	ErrBatchTooLarge = errors.New("batch exceeds its size limit")
	// ErrBadBatch means that the data is not a valid batch or that a record
	// can't be encoded as part of one.
	ErrBadBatch = errors.New("malformed batch")
)

// AppendRecord appends the length-delimited form of a record to a batch. It
// returns ErrBadBatch if the record doesn't have exactly one body, and
// ErrBatchTooLarge if the result would exceed MaxBatchBytes.
func AppendRecord(batch []byte, r *recordpb.Record) ([]byte, error) {
	data, err := Encode(r)
	if err != nil {
		return batch, err
	}
	if len(batch)+protowire.SizeBytes(len(data)) > MaxBatchBytes {
		return batch, ErrBatchTooLarge
	}
	return protowire.AppendBytes(batch, data), nil
}

// EncodeBatch encodes records as a batch. There must be at least one record.
// Errors wrap ErrBatchTooLarge or ErrBadBatch.
func EncodeBatch(records []*recordpb.Record) ([]byte, error) {
	if len(records) == 0 {
		return nil, fmt.Errorf("%w: no records", ErrBadBatch)
	}
	if len(records) > MaxBatchRecords {
		return nil, ErrBatchTooLarge
	}
	var batch []byte
	for _, r := range records {
		var err error
		if batch, err = AppendRecord(batch, r); err != nil {
			return nil, err
		}
	}
	return batch, nil
}

// DecodeBatch returns the records of a batch. Errors wrap ErrBatchTooLarge or
// ErrBadBatch. Decoding is deterministic, so all readers skip the same invalid
// batches.
func DecodeBatch(data []byte) ([]*recordpb.Record, error) {
	if len(data) > MaxBatchBytes {
		return nil, ErrBatchTooLarge
	}
	var records []*recordpb.Record
	for len(data) > 0 {
		body, n := protowire.ConsumeBytes(data)
		if n < 0 {
			return nil, fmt.Errorf("%w: %w", ErrBadBatch, protowire.ParseError(n))
		}
		data = data[n:]
		if len(records) == MaxBatchRecords {
			return nil, ErrBatchTooLarge
		}
		r := new(recordpb.Record)
		if err := proto.Unmarshal(body, r); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBadBatch, err)
		}
		if err := checkBody(r); err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	if len(records) == 0 {
		return nil, fmt.Errorf("%w: no records", ErrBadBatch)
	}
	return records, nil
}

// checkBody returns ErrBadBatch unless exactly one body is set.
func checkBody(r *recordpb.Record) error {
	bodies := 0
	message := r.ProtoReflect()
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.Message() != nil && message.Has(field) {
			bodies++
		}
	}
	if bodies != 1 {
		return fmt.Errorf("%w: record has %d bodies", ErrBadBatch, bodies)
	}
	return nil
}
