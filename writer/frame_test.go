package writer_test

import (
	"bytes"
	"testing"

	"github.com/cactusreel/cactusreel/writer"
)

// Guards against panics, and against items that change when a batch is decoded
// and encoded again.
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
			t.Fatalf("%d items became %d in the round trip: %v", len(items), len(again), err)
		}
		for i := range items {
			if !bytes.Equal(items[i], again[i]) {
				t.Fatalf("item %d changed in the round trip", i)
			}
		}
	})
}
