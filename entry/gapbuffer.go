package entry

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// gapBuffer buffers records that cannot be applied yet because earlier ones are
// no longer in the log, until a complete snapshot covers the gap.
type gapBuffer struct {
	assembler record.Assembler
	records   []hostapi.LogRecord
}

// reset drops all records and chunks.
func (b *gapBuffer) reset() {
	*b = gapBuffer{}
}

// addChunks adds the snapshot chunks of a batch and reports whether one of them
// completed a snapshot.
func (b *gapBuffer) addChunks(batch []*recordpb.Record) bool {
	complete := false
	for _, r := range batch {
		if r.Chunk != nil && b.assembler.Add(r.Chunk) {
			complete = true
		}
	}
	return complete
}

// addRecord adds a record after the gap.
func (b *gapBuffer) addRecord(r hostapi.LogRecord) {
	b.records = append(b.records, r)
}

// coveringSnapshot returns the newest snapshot, or false if it does not cover
// the gap between offset applied and the first buffered record.
func (b *gapBuffer) coveringSnapshot(applied int64) (record.Snapshot, bool) {
	snapshot, ok := b.assembler.Newest()
	if !ok || snapshot.Covered <= applied || len(b.records) == 0 {
		return record.Snapshot{}, false
	}
	return snapshot, snapshot.Covered+1 >= b.records[0].Offset
}

// releaseAfter returns the buffered records after offset applied and drops all of
// them.
func (b *gapBuffer) releaseAfter(applied int64) []hostapi.LogRecord {
	buffered := b.records
	b.records = nil
	for len(buffered) > 0 && buffered[0].Offset <= applied {
		buffered = buffered[1:]
	}
	return buffered
}
