package record

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

func chunksOf(t *testing.T, id string, covered int64, size int) ([]byte, []*recordpb.SnapshotChunk) {
	t.Helper()
	data := bytes.Repeat([]byte(id), size/len(id)+1)
	chunks, err := SplitSnapshot(id, covered, data)
	if err != nil {
		t.Fatal(err)
	}
	return data, chunks
}

// Guards against a partially written snapshot that is treated as complete.
func TestAssemblerRequiresAllChunks(t *testing.T) {
	is := is.New(t)
	data, chunks := chunksOf(t, "one", 10, 3*ChunkBytes)
	is.Equal(len(chunks), 4)
	var a Assembler
	for _, i := range []int{3, 1, 1, 0} {
		is.True(!a.Add(chunks[i]))
	}
	_, ok := a.Newest()
	is.True(!ok)
	is.True(a.Add(chunks[2]))
	snapshot, ok := a.Newest()
	is.True(ok)
	is.Equal(snapshot.Covered, int64(10))
	is.True(bytes.Equal(snapshot.Data, data))
}

// Guards against damaged chunks, chunks of another snapshot with the same id,
// and complete snapshots whose chunks don't belong together.
func TestAssemblerIgnoresInvalidChunks(t *testing.T) {
	is := is.New(t)
	_, chunks := chunksOf(t, "two", 20, 2*ChunkBytes)
	_, others := chunksOf(t, "xyz", 20, 2*ChunkBytes)
	damaged := proto.CloneOf(chunks[1])
	damaged.Data[7] ^= 1
	conflicting := proto.CloneOf(chunks[1])
	conflicting.Covered++
	outOfRange := proto.CloneOf(chunks[1])
	outOfRange.Index = outOfRange.Count
	var a Assembler
	is.True(!a.Add(chunks[0]))
	is.True(!a.Add(chunks[2]))
	for _, bad := range []*recordpb.SnapshotChunk{damaged, conflicting, outOfRange, {}} {
		is.True(!a.Add(bad))
	}
	otherData := proto.CloneOf(others[1])
	otherData.Snapshot, otherData.Checksum = "two", chunks[0].Checksum
	is.True(!a.Add(otherData)) // the chunk's checksum is valid, the snapshot's is not
	_, ok := a.Newest()
	is.True(!ok)
}

// Guards against an older snapshot that is completed later and replaces a newer one.
func TestAssemblerKeepsNewest(t *testing.T) {
	is := is.New(t)
	_, older := chunksOf(t, "old", 5, 10)
	_, newer := chunksOf(t, "new", 9, 10)
	var a Assembler
	is.True(a.Add(newer[0]))
	is.True(!a.Add(older[0]))
	snapshot, _ := a.Newest()
	is.Equal(snapshot.ID, "new")
}

// Guards against panics, and against accepting chunks that SplitSnapshot does
// not produce.
func FuzzAssembler(f *testing.F) {
	f.Add("id", int32(0), int32(1), int64(3), []byte("data"))
	f.Fuzz(func(t *testing.T, id string, index, count int32, covered int64, data []byte) {
		chunks, err := SplitSnapshot(id, covered, data)
		if err != nil {
			return
		}
		var a Assembler
		c := proto.CloneOf(chunks[0])
		c.Index, c.Count = index, count
		if a.Add(c) != (index == 0 && count == 1 && len(chunks) == 1) {
			t.Fatalf("wrong result for chunk %d of %d; the snapshot has %d chunks", index, count, len(chunks))
		}
	})
}

// Guards against applying a retried append twice, also when an older record of
// the writer is appended late, and against a filter that grows without bound.
func TestFilterDropsDuplicates(t *testing.T) {
	is := is.New(t)
	var f Filter
	is.True(f.Accept(ID{1, 1}, 1))
	is.True(!f.Accept(ID{1, 1}, 2))
	is.True(f.Accept(ID{1, 5}, 3))
	is.True(!f.Accept(ID{1, 4}, 4))
	is.True(f.Accept(ID{2, 1}, 5))
	var restored Filter
	restored.Restore(f.Marks())
	is.True(!restored.Accept(ID{1, 5}, 6))
	is.True(restored.Accept(ID{2, 2}, 7))
	for i := range uint64(MaxWriters) {
		f.Accept(ID{100 + i, 1}, int64(10+i))
	}
	is.Equal(len(f.Marks()), MaxWriters)
	is.True(f.Accept(ID{1, 1}, 1_000_000)) // the oldest writer was evicted
}
