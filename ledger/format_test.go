package ledger_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a record that this version leaves out, or applies in part, because only a
// later one knows all of it, and against a kind that this version refuses though it has it.
func TestRecordsOfUnknownFormats(t *testing.T) {
	is := is.New(t)
	fields := (&ledgerpb.Record{}).ProtoReflect().Descriptor().Fields()
	kinds := 0
	for i := range fields.Len() {
		f := fields.Get(i)
		if f.Message() == nil {
			continue
		}
		kinds++
		for format, want := range map[int32]error{0: nil, ledger.Format: nil, ledger.Format + 1: ledger.ErrUnknownFormat} {
			r := &ledgerpb.Record{Format: format}
			r.ProtoReflect().Set(f, r.ProtoReflect().NewField(f))
			if f.Name() == "submitted" {
				r.Submitted = ledger.SubmittedRecord(fuzzSubmission()).Submitted
			}
			_, err := ledger.Decode(encodeRecord(is, r))
			is.True(errors.Is(err, want))
		}
	}
	is.Equal(kinds, 13)
	cancelled := encodeRecord(is, ledger.CancelledRecord("s"))
	unknown := protowire.AppendBytes(protowire.AppendTag(nil, 200, protowire.BytesType), []byte("x"))
	two := encodeRecord(is, &ledgerpb.Record{Cancelled: &ledgerpb.Cancelled{Id: "s"}, Opened: &ledgerpb.Opened{Epoch: 1}})
	outcome := encodeRecord(is, ledger.EndedRecord(workload.RunID{}, workload.LastOutcome+1, ""))
	for _, data := range [][]byte{unknown, two, outcome} {
		_, err := ledger.Decode(data)
		is.True(errors.Is(err, ledger.ErrUnknownFormat))
	}
	// A field beside a known body may be left out.
	_, err := ledger.Decode(append(cancelled, unknown...))
	is.NoErr(err)
	_, err = ledger.Decode(nil)
	is.True(errors.Is(err, ledger.ErrBadRecord))
	_, err = ledger.Reader{Format: ledger.Format + 1}.Decode(encodeRecord(is, &ledgerpb.Record{Cancelled: &ledgerpb.Cancelled{}, Format: ledger.Format + 1}))
	is.NoErr(err)
}

func encodeRecord(is *is.I, r *ledgerpb.Record) []byte {
	data, err := ledger.Encode(r)
	is.NoErr(err)
	return data
}

// largeLedger returns a ledger whose snapshot has several parts.
func largeLedger() *ledger.Ledger {
	l := ledger.New()
	s := fuzzSubmission()
	for i := range 12 {
		s.ID, s.Spec = string(rune('a'+i)), string(make([]byte, 30<<10))
		l.Apply(ledger.SubmittedRecord(s))
	}
	l.Apply(ledger.CancelledRecord("a"))
	return l
}

// Guards against a snapshot that is read without a part, or without the end of a part.
func TestCutSnapshotIsNotRead(t *testing.T) {
	is := is.New(t)
	whole, err := ledger.EncodeSnapshot(largeLedger().Snapshot(ledger.Offsets{Cell: 1, Intake: 1}))
	is.NoErr(err)
	is.True(len(whole) > 2)
	_, err = ledger.DecodeSnapshot(whole)
	is.NoErr(err)
	for i := range whole {
		without := append(append([][]byte(nil), whole[:i]...), whole[i+1:]...)
		_, err := ledger.DecodeSnapshot(without)
		is.True(errors.Is(err, ledger.ErrIncompleteSnapshot))
		cut := append([][]byte(nil), whole...)
		for size := 0; size < len(whole[i]); size += 1 + size/8 {
			cut[i] = whole[i][:size]
			_, err := ledger.DecodeSnapshot(cut)
			is.True(errors.Is(err, ledger.ErrIncompleteSnapshot) || errors.Is(err, ledger.ErrBadRecord))
		}
		changed := append([]byte(nil), whole[i]...)
		changed[len(changed)-1] ^= 1
		cut[i] = changed
		_, err = ledger.DecodeSnapshot(cut)
		is.True(errors.Is(err, ledger.ErrBadRecord))
	}
}

// Guards against a snapshot of which one part is of a later format, and against one that
// doesn't state the format of a record that it covers.
func TestSnapshotKeepsTheFormatOfItsRecords(t *testing.T) {
	is := is.New(t)
	l := largeLedger()
	l.Apply(&ledgerpb.Record{Cancelled: &ledgerpb.Cancelled{Id: "b"}, Format: ledger.Format + 1})
	later := ledger.Reader{Format: ledger.Format + 1}
	data, err := ledger.EncodeSnapshot(l.Snapshot(ledger.Offsets{Cell: 7}))
	is.NoErr(err)
	parts, err := ledger.DecodeSnapshot(data)
	is.True(errors.Is(err, ledger.ErrUnknownFormat))
	is.Equal(parts[0].CellNext, int64(7))
	parts, err = later.DecodeSnapshot(data)
	is.NoErr(err)
	restored := ledger.New()
	restored.ApplySnapshot(parts)
	is.Equal(restored.Snapshot(ledger.Offsets{})[0].Format, int32(ledger.Format+1))

	plain := largeLedger().Snapshot(ledger.Offsets{})
	plain[1].Format = ledger.Format + 1
	data, err = ledger.EncodeSnapshot(plain)
	is.NoErr(err)
	_, err = ledger.DecodeSnapshot(data)
	is.True(errors.Is(err, ledger.ErrUnknownFormat))
}
