package coordinator

import (
	"context"
	"errors"
	"time"
)

// Errors of a Log. Any other error leaves the outcome of an append unknown.
var (
	// ErrNotDone means that the call certainly had no effect.
	ErrNoEffect = errors.New("log call had no effect")
	// ErrFenced means that the stream has seen a higher epoch.
	ErrFenced = errors.New("log append is fenced by a higher epoch")
	// ErrMoved means that the stream does not end at the expected offset.
	ErrOffsetMismatch = errors.New("log stream has another end")
	// ErrExpired means that the log no longer has the requested records.
	ErrExpired = errors.New("log records have expired")
)

// Stream names one partition of a topic.
type Stream struct {
	Topic     string
	Partition int
}

// Page is what a read returned.
type Page struct {
	Records [][]byte
	// From is the offset of the first record, or of the next one to come.
	From int64
	// End is the offset of the record that is appended next.
	LogEnd int64
	// First is the oldest offset that the log has.
	LogStart int64
}

// Fence makes an append conditional and idempotent.
type Fence struct {
	Epoch    int64
	Sequence int64
	// At, if not negative, is the offset at which the stream must end.
	ExpectedEnd int64
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds records in order, all or none. Fence may be nil. It returns
	// the offset after the last record.
	Append(ctx context.Context, s Stream, records [][]byte, f *Fence) (int64, error)
	// End returns the offset of the record that is appended next. Unlike a read
	// it is never behind.
	End(ctx context.Context, s Stream) (int64, error)
	// Read returns at most limit records from an offset on; it waits for one if
	// there is none. It returns ErrExpired and a Page with First if the offset
	// is too old.
	Read(ctx context.Context, s Stream, from int64, limit int, wait time.Duration) (Page, error)
}

// Snapshots keep the newest snapshot of each cell's state for ever. Parts of
// two snapshots may be mixed while one is written.
type SnapshotStore interface {
	// Save replaces the parts of a cell. An error leaves the outcome unknown.
	Save(ctx context.Context, cell int, parts [][]byte) error
	// Load returns the parts of a cell in order. Parts of an older, longer
	// snapshot may follow.
	Load(ctx context.Context, cell int) ([][]byte, error)
}

// Register keeps the newest value of each key for ever, beside the log's
// streams.
type KeyValueStore interface {
	// Put sets the value of a key. An error leaves the outcome unknown.
	Put(ctx context.Context, key string, value []byte) error
	// Values returns all keys and their values.
	Values(ctx context.Context) (map[string][]byte, error)
}

// Assignment is what a group gave a member.
type Assignment struct {
	Generation int64
	Cells      []int
}

// Group distributes the cells over the nodes.
type Group interface {
	// Join keeps this node in the group.
	Join(ctx context.Context, generation int64) (Assignment, error)
	// Volunteers tells whether a member that is not in reserve holds a cell.
	HasNonReserveOwner(ctx context.Context) (bool, error)
	// Leave gives all cells back.
	Leave(ctx context.Context) error
}
