package ledger

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// ErrIncompleteSnapshot means that parts of a snapshot are missing or are of
// different snapshots, as while a new one is written.
var ErrIncompleteSnapshot = errors.New("snapshot is incomplete")

// Offsets are how far the two streams of a cell are applied: the offsets of the
// first records that are not.
type Offsets struct {
	Cell   int64
	Intake int64
}

// partBytes is the size of a snapshot's part from which the next one begins; a
// record of the log may have 256 KiB.
const partBytes = 128 << 10

// settledBytes is the size of a Settled message: an id of 16 characters, a
// state, and their tags.
const settledBytes = 24

// snapshotWriter collects the parts of a snapshot.
type snapshotWriter struct {
	parts []*ledgerpb.Snapshot
	size  int
}

// part returns the part that has room for size more bytes.
func (w *snapshotWriter) part(size int) *ledgerpb.Snapshot {
	if len(w.parts) == 0 || w.size+size > partBytes {
		w.parts = append(w.parts, &ledgerpb.Snapshot{})
		w.size = 0
	}
	w.size += size
	return w.parts[len(w.parts)-1]
}

// Snapshot returns the state as parts, each smaller than a record of the log.
// The messages share nothing with the book that changes later.
func (b *Ledger) Snapshot(at Offsets) []*ledgerpb.Snapshot {
	w := &snapshotWriter{}
	first := w.part(proto.Size(b.learned))
	first.Owner, first.Learned = OpenedRecord(b.owner).Opened, b.learned
	for _, e := range b.Live() {
		for _, r := range e.retained() {
			p := w.part(proto.Size(r))
			p.Live = append(p.Live, r)
		}
	}
	b.entries.Range(func(_, value any) bool {
		if e := value.(*Entry); e.State().Final() {
			p := w.part(settledBytes)
			p.Settled = append(p.Settled, &ledgerpb.Settled{Id: e.ID, State: int32(e.State())})
		}
		return true
	})
	for i, p := range w.parts {
		p.Part, p.Parts = int32(i), int32(len(w.parts))
		p.CellNext, p.IntakeNext = at.Cell, at.Intake
	}
	return w.parts
}

// DecodeSnapshot parses the parts of a snapshot; parts of an older, longer one
// may follow. It returns ErrIncompleteSnapshot if they don't belong together.
func DecodeSnapshot(data [][]byte) ([]*ledgerpb.Snapshot, error) {
	var parts []*ledgerpb.Snapshot
	for i, d := range data {
		p := new(ledgerpb.Snapshot)
		if err := proto.Unmarshal(d, p); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBadRecord, err)
		}
		first := p
		if i > 0 {
			first = parts[0]
		}
		if i >= int(first.Parts) {
			break
		}
		if int(p.Part) != i || p.Parts != first.Parts || p.CellNext != first.CellNext || p.IntakeNext != first.IntakeNext {
			return nil, ErrIncompleteSnapshot
		}
		parts = append(parts, p)
	}
	if len(parts) == 0 || len(parts) < int(parts[0].Parts) {
		return nil, ErrIncompleteSnapshot
	}
	return parts, nil
}

// ApplySnapshot applies a snapshot and returns how far it goes. What the book knows
// already stays.
func (b *Ledger) ApplySnapshot(parts []*ledgerpb.Snapshot) Offsets {
	for _, p := range parts {
		if p.Owner.GetEpoch() > b.owner.Epoch {
			b.owner = OwnerOf(p.Owner)
		}
		if p.Learned != nil {
			b.learned = p.Learned
		}
		for _, r := range p.Live {
			b.retain(r)
		}
		for _, s := range p.Settled {
			b.loadSettled(s)
		}
	}
	return Offsets{Cell: parts[0].CellNext, Intake: parts[0].IntakeNext}
}

// loadSettled makes an entry final. Nothing but the state is known of an entry
// whose records were not read.
func (b *Ledger) loadSettled(s *ledgerpb.Settled) {
	state := workload.State(s.State)
	if !state.Final() {
		return
	}
	e := b.Find(s.Id)
	if e == nil {
		e = newEntry(workload.Submission{ID: s.Id})
		b.entries.Store(s.Id, e)
		b.live[s.Id] = e
	}
	switch state {
	case workload.Completed:
		e.left = 0
	case workload.Failed:
		e.failed = true
	case workload.Cancelled:
		e.cancelled = true
	}
	b.settle(e)
}
