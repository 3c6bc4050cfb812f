package hostapi

import (
	"context"
	"errors"
)

// ErrTruncated is returned by a read below the first retained offset.
var ErrTruncated = errors.New("log offset is no longer retained")

// ErrNotSent is wrapped by errors of requests that certainly never left this
// process, for example because the connection was refused.
var ErrNotSent = errors.New("request was not sent")

// LogRecord is one record of a stream.
type LogRecord struct {
	// Offset is the record's place in its stream, from 1.
	Offset int64
	// ID is the writer's id of the record. The log does not compare ids:
	// the same record appended twice has two offsets.
	ID string
	// Data is the encoded record.
	Data []byte
}

// LogPage is the result of a read.
type LogPage struct {
	// First is the lowest offset that the log still keeps.
	First int64
	// Next is the offset that the next appended record gets.
	Next int64
	// Records are in ascending order of offset, without gaps.
	Records []LogRecord
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds a record to a stream and returns its offset. An error that
	// wraps ErrNotSent means that nothing was appended; after any other error
	// the record may have been appended, or may still be.
	Append(ctx context.Context, stream, id string, data []byte) (int64, error)
	// Read returns at most limit records from offset from on. It returns
	// ErrTruncated (and First and Next) if from is below First. A read at
	// Next returns no records and no error.
	Read(ctx context.Context, stream string, from int64, limit int) (LogPage, error)
}
