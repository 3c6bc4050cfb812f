package hostapi

import (
	"context"
	"errors"
)

// ErrTruncated is returned by a read from below the first retained offset.
var ErrTruncated = errors.New("log offset is no longer retained")

// ErrNotSent is wrapped by errors of requests that are known never to have left
// this process, for example because the connection was refused.
var ErrNotSent = errors.New("request was not sent")

// LogRecord is one record of a stream.
type LogRecord struct {
	// Offset is the position of the record in its stream, from 1.
	Offset int64
	// ID is the id assigned by the writer. The log does not deduplicate: a
	// record that is appended twice gets two offsets.
	ID string
	// Data is the encoded record.
	Data []byte
}

// LogPage is the result of a read.
type LogPage struct {
	// First is the lowest retained offset.
	First int64
	// Next is the offset of the next record to be appended.
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
	// Read returns at most limit records, starting at offset from. If from is
	// below First, it returns ErrTruncated with a page that contains only First
	// and Next. A read from Next returns no records and no error.
	Read(ctx context.Context, stream string, from int64, limit int) (LogPage, error)
}
