package coordinator

import (
	"context"
	"errors"
	"time"
)

// Errors of a Log. Any other error leaves the outcome of an append unknown.
var (
	// ErrNoEffect means that the call had no effect.
	ErrNoEffect = errors.New("log call had no effect")
	// ErrFenced means that a higher epoch has appended to the stream.
	ErrFenced = errors.New("log append is fenced by a higher epoch")
	// ErrOffsetMismatch means that the stream does not end at the expected offset.
	ErrOffsetMismatch = errors.New("log stream does not end at the expected offset")
	// ErrOutOfSequence means that the append's number doesn't follow the last one of its epoch: an
	// earlier append is missing, or another node has opened the epoch.
	ErrOutOfSequence = errors.New("log append is out of sequence in its epoch")
	// ErrExpired means that the log no longer has the requested records.
	ErrExpired = errors.New("log records have expired")
)

// Stream identifies one partition of a topic.
type Stream struct {
	Topic     string
	Partition int
}

// Page is the result of a read.
type Page struct {
	Records [][]byte
	// From is the offset of the first record, or of the next one to be appended if
	// there is none.
	From int64
	// LogEnd is the offset of the record that is appended next. It may lag behind.
	LogEnd int64
	// LogStart is the offset of the oldest record that the log has.
	LogStart int64
}

// AtEnd reports whether the records of the page are the last ones of the log, as far as
// the log's answer shows.
func (p *Page) AtEnd() bool { return p.From+int64(len(p.Records)) == p.LogEnd }

// Fence makes an append conditional and idempotent.
type Fence struct {
	// Epoch is the fencing token.
	Epoch int64
	// Sequence is the number of the append within the epoch, which begins at any number. A retry
	// has the same number: the log answers an append of the same epoch and number, of whichever
	// node, as a repeat of the first one, and does not compare the records.
	Sequence int64
	// ExpectedEnd, if not negative, is the offset at which the stream must end.
	ExpectedEnd int64
}

// Log is the platform's append-only log.
type Log interface {
	// Append appends records in order, all or none. The fence may be nil. It
	// returns the offset after the last record.
	Append(ctx context.Context, s Stream, records [][]byte, f *Fence) (int64, error)
	// End returns the offset of the record that is appended next. Unlike a read, it
	// never lags behind.
	End(ctx context.Context, s Stream) (int64, error)
	// Read returns at most limit records from an offset on. If there is none, it
	// waits up to the given time. If the offset is too old, it returns ErrExpired
	// and a Page with LogStart.
	Read(ctx context.Context, s Stream, from int64, limit int, wait time.Duration) (Page, error)
}

// SnapshotForm says in which forms a snapshot of several appends is kept.
type SnapshotForm int

const (
	// NewestForm is the form that this version writes, alone.
	NewestForm SnapshotForm = iota
	// KeepOlderForm keeps the last one in the form of earlier versions beside it.
	KeepOlderForm
	// WriteOlderForm writes the form of earlier versions too, which is not complete while it is
	// being written.
	WriteOlderForm
)

// SnapshotStore keeps the newest snapshot of each cell without expiry. A complete snapshot
// stays until a newer one is complete, also if its writer ends while it saves.
type SnapshotStore interface {
	// Save replaces the snapshot of a cell. After an error the outcome is unknown. The form
	// matters only for a snapshot that is too large for one append. It returns how many appends
	// the snapshot takes in its newest form.
	Save(ctx context.Context, cell int, parts [][]byte, form SnapshotForm) (appends int, err error)
	// Load returns the snapshots of a cell, each with its parts in order. Beside the
	// newest complete one there may be incomplete and older ones, and parts of an older,
	// longer one may follow those of a snapshot.
	Load(ctx context.Context, cell int) ([][][]byte, error)
}

// KeyValueStore keeps the newest value of each key without expiry.
type KeyValueStore interface {
	// Put sets the value of a key. After an error the outcome is unknown.
	Put(ctx context.Context, key string, value []byte) error
	// Values returns all keys and their values.
	Values(ctx context.Context) (map[string][]byte, error)
}

// Assignment is the set of cells that the group assigned to a member.
type Assignment struct {
	// Generation is the number of the distribution of the cells; it grows with each
	// new one.
	Generation int64
	Cells      []int
}

// Group distributes the cells over the nodes.
type Group interface {
	// Join joins the group or renews the membership. The generation is that of the
	// last assignment received, or 0.
	Join(ctx context.Context, generation int64) (Assignment, error)
	// HasOwnerBelow reports whether a member whose reserve level is lower holds a cell.
	HasOwnerBelow(ctx context.Context, reserveLevel int) (bool, error)
	// Leave leaves the group and releases all cells.
	Leave(ctx context.Context) error
}
