package record

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

func sampleRecords() []*recordpb.Record {
	return []*recordpb.Record{
		{Join: &recordpb.Join{Vm: "vm1", Incarnation: 7}},
		{Term: 4, Placed: &recordpb.Placed{Task: "job/2/0", Attempt: 1, Worker: "w", Boot: "b"}},
		{Operation: &recordpb.Operation{Id: "op", Verb: recordpb.Verb_VERB_TAKE_OUT, Kind: "datacentres", Name: "giza"}},
	}
}

// Guards against a batch that loses or reorders records.
func TestBatchRoundTrip(t *testing.T) {
	is := is.New(t)
	data, err := EncodeBatch(sampleRecords())
	is.NoErr(err)
	decoded, err := DecodeBatch(data)
	is.NoErr(err)
	is.Equal(len(decoded), 3)
	for i, r := range sampleRecords() {
		is.True(proto.Equal(r, decoded[i]))
	}
}

// Guards against a truncated batch that decodes as a shorter one, and against
// records without a body or with two bodies.
func TestBatchRejectsMalformedInput(t *testing.T) {
	is := is.New(t)
	data, err := EncodeBatch(sampleRecords())
	is.NoErr(err)
	first, err := EncodeBatch(sampleRecords()[:1])
	is.NoErr(err)
	second, err := EncodeBatch(sampleRecords()[:2])
	is.NoErr(err)
	for length := range data {
		_, err := DecodeBatch(data[:length])
		boundary := length == len(first) || length == len(second)
		is.Equal(err == nil, boundary) // only a cut at the end of a record decodes
	}
	for _, bad := range []*recordpb.Record{
		{},
		{Join: &recordpb.Join{}, Leave: &recordpb.Leave{}},
	} {
		_, err := EncodeBatch([]*recordpb.Record{bad})
		is.True(errors.Is(err, ErrBadBatch))
	}
}

// Guards against batches that exceed the limits enforced by readers.
func TestBatchBounds(t *testing.T) {
	is := is.New(t)
	big := &recordpb.Record{Operation: &recordpb.Operation{Body: make([]byte, MaxBatchBytes)}}
	_, err := EncodeBatch([]*recordpb.Record{big})
	is.True(errors.Is(err, ErrBatchTooLarge))
	many := make([]*recordpb.Record, MaxBatchRecords+1)
	for i := range many {
		many[i] = &recordpb.Record{Leave: &recordpb.Leave{}}
	}
	_, err = EncodeBatch(many)
	is.True(errors.Is(err, ErrBatchTooLarge))
	full, err := EncodeBatch(many[1:])
	is.NoErr(err)
	one, err := EncodeBatch(many[:1])
	is.NoErr(err)
	_, err = DecodeBatch(append(full, one...))
	is.True(errors.Is(err, ErrBatchTooLarge))
}

// Guards against input that makes the decoder panic, and against records that
// change when they are encoded and decoded again.
func FuzzDecodeBatch(f *testing.F) {
	data, err := EncodeBatch(sampleRecords())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := DecodeBatch(data)
		if err != nil {
			return
		}
		again, err := EncodeBatch(records)
		if errors.Is(err, ErrBatchTooLarge) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeBatch(again)
		if err != nil {
			t.Fatal(err)
		}
		for i, r := range records {
			if !proto.Equal(r, decoded[i]) {
				t.Fatalf("record %d changed in the round trip", i)
			}
		}
	})
}

// Guards against two text forms of one id, which would let a duplicate record
// pass as a new one.
func FuzzParseID(f *testing.F) {
	f.Add("00000000000000ff-12")
	f.Add("ff-12")
	f.Add("00000000000000ff-012")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseID(text)
		if err == nil && id.String() != text {
			t.Fatalf("%q parsed as %v", text, id)
		}
	})
}
