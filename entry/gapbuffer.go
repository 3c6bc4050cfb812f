package entry

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// gapBuffer keeps records that can't be applied yet because the ones before
// them are no longer in the log, until a whole snapshot covers the gap.
type gapBuffer struct {
	assembler record.Assembler
	records   []hostapi.LogRecord
}

// reset forgets all records and chunks.
func (b *gapBuffer) reset() {
	*b = gapBuffer{}
}

// addChunks takes the snapshot chunks of a batch and reports whether one of
// them completed a snapshot.
func (b *gapBuffer) addChunks(batch []*recordpb.Record) bool {
	whole := false
	for _, r := range batch {
		if r.Chunk != nil && b.assembler.Add(r.Chunk) {
			whole = true
		}
	}
	return whole
}

// hold keeps a record behind the gap.
func (b *gapBuffer) hold(r hostapi.LogRecord) {
	b.records = append(b.records, r)
}

// coveringSnapshot returns the newest snapshot if it covers the gap after offset applied.
func (b *gapBuffer) coveringSnapshot(applied int64) (record.Snapshot, bool) {
	snapshot, ok := b.assembler.Newest()
	if !ok || snapshot.Covered <= applied || len(b.records) == 0 {
		return record.Snapshot{}, false
	}
	return snapshot, snapshot.Covered+1 >= b.records[0].Offset
}

// releaseAfter returns the held records above an offset and forgets them all.
func (b *gapBuffer) releaseAfter(applied int64) []hostapi.LogRecord {
	held := b.records
	b.records = nil
	for len(held) > 0 && held[0].Offset <= applied {
		held = held[1:]
	}
	return held
}
