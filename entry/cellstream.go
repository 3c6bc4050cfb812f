package entry

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
	"github.com/cactusreel/cactusreel/tasks"
	"github.com/cactusreel/cactusreel/trace"
)

// applyPage applies a page of the cell's task stream.
func (r *cellRunner) applyPage(page []hostapi.LogRecord) {
	for _, logRecord := range page {
		r.applyRecord(logRecord)
	}
}

// applyRecord applies a record, or buffers it until a snapshot covers the gap
// before it.
func (r *cellRunner) applyRecord(logRecord hostapi.LogRecord) {
	id, err := record.ParseID(logRecord.ID)
	if err != nil {
		r.logUndecodable(logRecord.Offset, err)
	}
	batch, err := record.DecodeBatch(logRecord.Data)
	if err != nil {
		// Every reader skips the same malformed batch, so their states stay equal.
		batch = nil
		r.logUndecodable(logRecord.Offset, err)
	}
	if r.gap.addChunks(batch) {
		r.lastSnapshotAt = r.clock()
	}
	if logRecord.Offset > r.machine.Offset()+1 {
		r.gap.addRecord(logRecord)
		r.restore()
		return
	}
	r.step(tasks.Applied{Offset: logRecord.Offset, ID: id, Records: batch})
	r.processReadRecords(batch)
	r.writer.Observed(logRecord.ID, logRecord.Offset)
}

func (r *cellRunner) logUndecodable(offset int64, err error) {
	r.log.Log(logevent.RecordUndecodable, zap.String("stream", r.follower.stream), zap.Int64("offset", offset), zap.Error(err))
}

// restore restores the newest complete snapshot if it covers the gap, then
// applies the records after it.
func (r *cellRunner) restore() {
	snapshot, ok := r.gap.coveringSnapshot(r.machine.Offset())
	if !ok {
		return
	}
	r.trace.event(r.clock(), trace.SnapshotRestored{Data: snapshot.Data})
	if err := r.machine.Restore(snapshot.Data); err != nil {
		r.log.Log(logevent.SnapshotIgnored, zap.String("stream", r.follower.stream), zap.Int64("offset", snapshot.Covered), zap.Error(err))
		return
	}
	r.log.Log(logevent.SnapshotAdopted, zap.String("stream", r.follower.stream), zap.Int64("offset", snapshot.Covered), zap.String("source", "log"))
	for _, logRecord := range r.gap.releaseAfter(r.machine.Offset()) {
		r.applyRecord(logRecord)
	}
}

// appendRecord submits a record to the writer of the stream.
func (r *cellRunner) appendRecord(rec *recordpb.Record) {
	item, err := record.Encode(rec)
	if err == nil {
		_, err = r.writer.Submit(item)
	}
	if err != nil {
		r.log.Log(logevent.RecordNotQueued, zap.String("stream", r.follower.stream), zap.Error(err))
	}
}

// appendSnapshotIfDue appends a snapshot before the last one expires from the
// log, even if no records were appended since.
func (r *cellRunner) appendSnapshotIfDue(now time.Duration) {
	if r.lastSnapshotAt == 0 {
		r.lastSnapshotAt = now
	}
	if now-r.lastSnapshotAt < r.host.snapshotInterval() || now >= r.ownership.PlaceUntil || r.machine.Offset() == 0 {
		return
	}
	r.appendSnapshot()
}

// appendSnapshot appends the machine's stream state in chunks.
func (r *cellRunner) appendSnapshot() {
	r.lastSnapshotAt = r.clock()
	data, err := r.machine.Snapshot()
	if err != nil {
		r.log.Log(logevent.SnapshotIgnored, zap.String("stream", r.follower.stream), zap.Int64("offset", r.machine.Offset()), zap.Error(err))
		return
	}
	offset := r.machine.Offset()
	chunks, err := record.SplitSnapshot(fmt.Sprintf("%s-%d-%d", r.config.VM, r.term, offset), offset, data)
	if err != nil {
		r.log.Log(logevent.SnapshotIgnored, zap.String("stream", r.follower.stream), zap.Int64("offset", offset), zap.Error(err))
		return
	}
	for _, chunk := range chunks {
		r.appendRecord(&recordpb.Record{Term: r.term, Chunk: chunk})
	}
	r.log.Log(logevent.SnapshotWritten, zap.String("stream", r.follower.stream), zap.Int64("offset", offset), zap.Int("chunks", len(chunks)), zap.Int("bytes", len(data)))
}
