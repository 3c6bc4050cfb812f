package ledger

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
)

// ErrIncompleteSnapshot means that parts of a snapshot are missing or belong to
// different snapshots, which can be seen while a new snapshot is being written.
var ErrIncompleteSnapshot = errors.New("snapshot is incomplete")

// checksumTag begins a part that states its checksum.
var checksumTag = protowire.AppendTag(nil, 12, protowire.Fixed64Type)

// EncodeSnapshot returns the encoding of the parts of a snapshot.
func EncodeSnapshot(parts []*ledgerpb.Snapshot) ([][]byte, error) {
	data := make([][]byte, len(parts))
	for i, p := range parts {
		rest, err := proto.Marshal(p)
		if err != nil {
			return nil, fmt.Errorf("encode snapshot: %w", err)
		}
		data[i] = protowire.AppendFixed64(append([]byte(nil), checksumTag...), xxhash.Sum64(rest))
		data[i] = append(data[i], rest...)
	}
	return data, nil
}

// DecodeSnapshot parses the parts of a snapshot. Surplus parts of an older, longer
// snapshot may follow. It returns ErrIncompleteSnapshot if the parts do not belong
// together. With an error that wraps ErrUnknownFormat it also returns the part that it
// doesn't know, whose offsets have the same meaning in all formats.
func (x Reader) DecodeSnapshot(data [][]byte) ([]*ledgerpb.Snapshot, error) {
	var parts []*ledgerpb.Snapshot
	for i, d := range data {
		if i > 0 && i >= int(parts[0].Parts) {
			break
		}
		p, err := x.decodePart(d)
		switch {
		case errors.Is(err, ErrUnknownFormat):
			return []*ledgerpb.Snapshot{p}, err
		case err != nil:
			return nil, err
		case int(p.Part) != i || p.Parts < 1:
			return nil, ErrIncompleteSnapshot
		}
		if i > 0 && (p.Parts != parts[0].Parts || p.CellNext != parts[0].CellNext || p.IntakeNext != parts[0].IntakeNext) {
			return nil, ErrIncompleteSnapshot
		}
		parts = append(parts, p)
	}
	if len(parts) == 0 || len(parts) < int(parts[0].Parts) {
		return nil, ErrIncompleteSnapshot
	}
	return parts, nil
}

func (x Reader) decodePart(data []byte) (*ledgerpb.Snapshot, error) {
	p := new(ledgerpb.Snapshot)
	if err := proto.Unmarshal(data, p); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadRecord, err)
	}
	if err := verifyChecksum(data); err != nil {
		return nil, err
	}
	if err := x.checkPart(p); err != nil {
		return p, err
	}
	for _, r := range p.Live {
		if err := validate(r.Submitted); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// verifyChecksum returns an error that wraps ErrBadRecord if a part states another checksum
// than that of its bytes. Parts of versions without checksums state none.
func verifyChecksum(part []byte) error {
	if len(part) == 0 || part[0] != checksumTag[0] {
		return nil
	}
	stated, n := protowire.ConsumeFixed64(part[len(checksumTag):])
	if n < 0 || xxhash.Sum64(part[len(checksumTag)+n:]) != stated {
		return fmt.Errorf("%w: part of a snapshot is damaged", ErrBadRecord)
	}
	return nil
}
