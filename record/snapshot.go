package record

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusreel/cactusreel/record/recordpb"
)

// Bounds of a snapshot.
const (
	// ChunkBytes is the most data that one chunk carries; with its frame a
	// chunk stays below MaxBatchBytes.
	ChunkBytes = 256 << 10
	// MaxChunks bounds the chunks of a snapshot.
	MaxChunks = 1024
)

// ErrSnapshotTooLarge means that a snapshot needs more than MaxChunks chunks.
var ErrSnapshotTooLarge = errors.New("snapshot exceeds its size limit")

// SplitSnapshot returns the chunks of a snapshot. The id must be unique among
// the snapshots of the stream; covered is the offset of the last record that
// the snapshot contains. Empty data gives one empty chunk.
func SplitSnapshot(id string, covered int64, data []byte) ([]*recordpb.SnapshotChunk, error) {
	count := max(1, (len(data)+ChunkBytes-1)/ChunkBytes)
	if count > MaxChunks {
		return nil, fmt.Errorf("%w: %d bytes", ErrSnapshotTooLarge, len(data))
	}
	whole := xxhash.Sum64(data)
	chunks := make([]*recordpb.SnapshotChunk, 0, count)
	for i := range count {
		part := data[i*ChunkBytes : min(len(data), (i+1)*ChunkBytes)]
		chunks = append(chunks, &recordpb.SnapshotChunk{
			Snapshot:      id,
			Index:         int32(i),
			Count:         int32(count),
			Covered:       covered,
			ChunkChecksum: xxhash.Sum64(part),
			Checksum:      whole,
			Data:          part,
		})
	}
	return chunks, nil
}

// Snapshot is a whole and intact snapshot.
type Snapshot struct {
	ID string
	// Covered is the offset of the last record that Data contains.
	Covered int64
	Data    []byte
}

// Assembler collects the chunks of snapshots and keeps the newest whole and
// intact one. The zero value is ready for use. It holds the chunks of at most
// maxOpenSnapshots unfinished snapshots.
type Assembler struct {
	open   []*partial
	newest *Snapshot
}

// maxOpenSnapshots bounds the memory of an Assembler. Two owners can write
// snapshots at the same time around a takeover; a few more may have been
// left unfinished.
const maxOpenSnapshots = 4

type partial struct {
	first  *recordpb.SnapshotChunk
	chunks map[int32][]byte
}

// Add takes a chunk. It reports whether the chunk completed a snapshot that
// is newer than the one held. A damaged or contradictory chunk is ignored.
func (a *Assembler) Add(c *recordpb.SnapshotChunk) bool {
	if c.Count < 1 || c.Count > MaxChunks || c.Index < 0 || c.Index >= c.Count {
		return false
	}
	if len(c.Data) > ChunkBytes || xxhash.Sum64(c.Data) != c.ChunkChecksum {
		return false
	}
	p := a.partial(c)
	if p == nil {
		return false
	}
	p.chunks[c.Index] = c.Data
	if len(p.chunks) < int(c.Count) {
		return false
	}
	a.drop(p)
	return a.finish(p)
}

// Newest returns the newest whole snapshot, or false if there is none.
func (a *Assembler) Newest() (Snapshot, bool) {
	if a.newest == nil {
		return Snapshot{}, false
	}
	return *a.newest, true
}

// partial returns the unfinished snapshot of a chunk, or nil if the chunk
// contradicts its other chunks.
func (a *Assembler) partial(c *recordpb.SnapshotChunk) *partial {
	for _, p := range a.open {
		if p.first.Snapshot != c.Snapshot {
			continue
		}
		if p.first.Count != c.Count || p.first.Covered != c.Covered || p.first.Checksum != c.Checksum {
			return nil
		}
		return p
	}
	if len(a.open) == maxOpenSnapshots {
		a.open = a.open[1:]
	}
	p := &partial{first: c, chunks: make(map[int32][]byte)}
	a.open = append(a.open, p)
	return p
}

func (a *Assembler) drop(p *partial) {
	for i, other := range a.open {
		if other == p {
			a.open = append(a.open[:i], a.open[i+1:]...)
			return
		}
	}
}

func (a *Assembler) finish(p *partial) bool {
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
