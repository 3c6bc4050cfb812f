package ledger

import (
	"errors"
	"fmt"

	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// Format is the newest format of records and snapshots that this version reads. A version
// raises it with a change that an earlier one must not leave out: a new kind of record, an
// outcome or state, a wider limit of submissions. It writes the new format only when all nodes
// of the deployment read it.
const Format = 1

// ErrUnknownFormat is wrapped by errors about records and snapshots that only a later version
// reads. Leaving them out would lose state, so the reader must not own the cell.
var ErrUnknownFormat = errors.New("written in a format that this version does not read")

// Reader decodes records and snapshots up to a format.
type Reader struct{ Format int32 }

// present is the reader of this version.
var present = Reader{Format: Format}

// Decode parses a record of either stream. Its errors wrap ErrBadRecord or ErrUnknownFormat.
func Decode(data []byte) (*ledgerpb.Record, error) { return present.Decode(data) }

// DecodeSnapshot parses the parts of a snapshot; see Reader.DecodeSnapshot.
func DecodeSnapshot(data [][]byte) ([]*ledgerpb.Snapshot, error) { return present.DecodeSnapshot(data) }

// checkRecord returns an error that wraps ErrUnknownFormat or ErrBadRecord unless the reader
// knows all of a record that must not be left out.
func (x Reader) checkRecord(r *ledgerpb.Record) error {
	if r.Format > x.Format {
		return fmt.Errorf("record of format %d, formats up to %d are read: %w", r.Format, x.Format, ErrUnknownFormat)
	}
	kinds := recordKinds(r)
	switch {
	case kinds == 0 && len(r.ProtoReflect().GetUnknown()) == 0:
		return fmt.Errorf("%w: record has no body", ErrBadRecord)
	case kinds != 1:
		return fmt.Errorf("record with %d bodies of a known kind: %w", kinds, ErrUnknownFormat)
	}
	if outcome := workload.Outcome(r.Ended.GetOutcome()); outcome < 0 || outcome > workload.LastOutcome {
		return fmt.Errorf("outcome %d of a run: %w", outcome, ErrUnknownFormat)
	}
	return nil
}

// recordKinds returns how many bodies of a record are set.
func recordKinds(r *ledgerpb.Record) int {
	kinds := 0
	for _, set := range [...]bool{
		r.Submitted != nil, r.Cancelled != nil, r.Opened != nil, r.Placed != nil, r.Ended != nil,
		r.Learned != nil, r.Released != nil, r.Transferred != nil, r.Silent != nil, r.Heard != nil,
		r.Crashed != nil, r.Survived != nil, r.Witnesses != nil,
	} {
		if set {
			kinds++
		}
	}
	return kinds
}

// checkPart does the same for a part of a snapshot.
func (x Reader) checkPart(p *ledgerpb.Snapshot) error {
	if p.Format > x.Format {
		return fmt.Errorf("snapshot of format %d, formats up to %d are read: %w", p.Format, x.Format, ErrUnknownFormat)
	}
	for _, s := range p.Settled {
		if state := workload.State(s.State); state < 0 || state > workload.LastState {
			return fmt.Errorf("state %d of a submission: %w", state, ErrUnknownFormat)
		}
	}
	return nil
}
