package record

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// Limits of a snapshot.
const (
	// ChunkBytes is the maximum size of the data in one chunk. A chunk with its
	// encoding overhead stays below MaxBatchBytes.
	ChunkBytes = 256 << 10
	// MaxChunks limits the number of chunks of a snapshot.
	MaxChunks = 1024
)

// ErrSnapshotTooLarge means that a snapshot needs more than MaxChunks chunks.
var ErrSnapshotTooLarge = errors.New("snapshot exceeds its size limit")

// SplitSnapshot splits the encoded snapshot data into chunks. The id must be
// unique among the snapshots of the stream; covered is the offset of the last
// record whose effect the snapshot includes. Empty data results in one empty
// chunk. It returns ErrSnapshotTooLarge if data needs more than MaxChunks chunks.
func SplitSnapshot(id string, covered int64, data []byte) ([]*recordpb.SnapshotChunk, error) {
	count := max(1, (len(data)+ChunkBytes-1)/ChunkBytes)
	if count > MaxChunks {
		return nil, fmt.Errorf("%w: %d bytes", ErrSnapshotTooLarge, len(data))
	}
	checksum := xxhash.Sum64(data)
	chunks := make([]*recordpb.SnapshotChunk, 0, count)
	for i := range count {
		chunk := data[i*ChunkBytes : min(len(data), (i+1)*ChunkBytes)]
		chunks = append(chunks, &recordpb.SnapshotChunk{
			Snapshot:      id,
			Index:         int32(i),
			Count:         int32(count),
			Covered:       covered,
			ChunkChecksum: xxhash.Sum64(chunk),
			Checksum:      checksum,
			Data:          chunk,
		})
	}
	return chunks, nil
}

// Snapshot is a complete snapshot with a valid checksum.
type Snapshot struct {
	ID string
	// Covered is the offset of the last record whose effect Data includes.
	Covered int64
	Data    []byte
}

// Assembler reassembles snapshots from their chunks and keeps the newest
// complete one. It buffers the chunks of at most maxUnfinishedSnapshots
// unfinished snapshots. The zero value is ready for use.
type Assembler struct {
	unfinished []*partialSnapshot
	newest     *Snapshot
}

// maxUnfinishedSnapshots limits the memory of an Assembler. Around a takeover two
// owners can write snapshots at the same time; the other entries allow for
// snapshots whose writer stopped before the last chunk.
const maxUnfinishedSnapshots = 4

type partialSnapshot struct {
	first  *recordpb.SnapshotChunk
	chunks map[int32][]byte
}

// Add adds a chunk. It reports whether the chunk completed a snapshot that is
// newer than the present one. It ignores a chunk that is damaged or inconsistent
// with the other chunks of its snapshot.
func (a *Assembler) Add(c *recordpb.SnapshotChunk) bool {
	if c.Count < 1 || c.Count > MaxChunks || c.Index < 0 || c.Index >= c.Count {
		return false
	}
	if len(c.Data) > ChunkBytes || xxhash.Sum64(c.Data) != c.ChunkChecksum {
		return false
	}
	p := a.partialFor(c)
	if p == nil {
		return false
	}
	p.chunks[c.Index] = c.Data
	if len(p.chunks) < int(c.Count) {
		return false
	}
	a.remove(p)
	return a.complete(p)
}

// Newest returns the newest complete snapshot, or false if there is none.
func (a *Assembler) Newest() (Snapshot, bool) {
	if a.newest == nil {
		return Snapshot{}, false
	}
	return *a.newest, true
}

// partialFor returns the unfinished snapshot that a chunk belongs to, or nil if
// the chunk is inconsistent with the snapshot's other chunks.
func (a *Assembler) partialFor(c *recordpb.SnapshotChunk) *partialSnapshot {
	for _, p := range a.unfinished {
		if p.first.Snapshot != c.Snapshot {
			continue
		}
		if p.first.Count != c.Count || p.first.Covered != c.Covered || p.first.Checksum != c.Checksum {
			return nil
		}
		return p
	}
	if len(a.unfinished) == maxUnfinishedSnapshots {
		a.unfinished = a.unfinished[1:]
	}
	p := &partialSnapshot{first: c, chunks: make(map[int32][]byte)}
	a.unfinished = append(a.unfinished, p)
	return p
}

func (a *Assembler) remove(p *partialSnapshot) {
	for i, other := range a.unfinished {
		if other == p {
			a.unfinished = append(a.unfinished[:i], a.unfinished[i+1:]...)
			return
		}
	}
}

func (a *Assembler) complete(p *partialSnapshot) bool {
	var data []byte
	for i := range p.first.Count {
		data = append(data, p.chunks[i]...)
	}
	if xxhash.Sum64(data) != p.first.Checksum {
		return false
	}
	if a.newest != nil && a.newest.Covered >= p.first.Covered {
		return false
	}
	a.newest = &Snapshot{ID: p.first.Snapshot, Covered: p.first.Covered, Data: data}
	return true
}
