package writer_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/writer"
)

// Guards against ids that two texts share or that change on the way.
func TestRecordIDText(t *testing.T) {
	is := is.New(t)
	id := writer.RecordID{Incarnation: 0xff, Sequence: 12}
	is.Equal(id.String(), "00000000000000ff-12")
	parsed, err := writer.ParseRecordID(id.String())
	is.NoErr(err)
	is.Equal(parsed, id)
	for _, text := range []string{"", "ff-12", "00000000000000ff-0", "00000000000000ff-012", "00000000000000FF-12", "00000000000000ff-+1", "00000000000000ff"} {
		_, err := writer.ParseRecordID(text)
		is.True(err != nil)
	}
}

// Guards against panics, and against batches whose items change on the way.
func FuzzUnframe(f *testing.F) {
	f.Add(writer.Frame([][]byte{[]byte("a"), nil, []byte("bc")}))
	f.Add([]byte{5, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		items, err := writer.Unframe(data)
		if err != nil {
			return
		}
		again, err := writer.Unframe(writer.Frame(items))
		if err != nil || len(again) != len(items) {
			t.Fatalf("%d items became %d: %v", len(items), len(again), err)
		}
		for i := range items {
			if !bytes.Equal(items[i], again[i]) {
				t.Fatalf("item %d changed", i)
			}
		}
	})
}
