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

// applyPage applies records of the cell's task stream.
func (r *cellRunner) applyPage(page []hostapi.LogRecord) {
	for _, logged := range page {
		r.applyRecord(logged)
	}
}

func (r *cellRunner) applyRecord(logged hostapi.LogRecord) {
	id, err := record.ParseID(logged.ID)
	if err != nil {
		r.undecodable(logged.Offset, err)
	}
	batch, err := record.DecodeBatch(logged.Data)
	if err != nil {
		// Every reader skips the same malformed batch.
		batch = nil
		r.undecodable(logged.Offset, err)
	}
	if r.gap.addChunks(batch) {
		r.snapshotAt = r.clock()
	}
	if logged.Offset > r.machine.Offset()+1 {
		r.gap.hold(logged)
		r.restore()
		return
	}
	r.step(tasks.Applied{Offset: logged.Offset, ID: id, Records: batch})
	r.processReadRecords(batch)
	r.writer.Observed(logged.ID, logged.Offset)
}

func (r *cellRunner) undecodable(offset int64, err error) {
	r.log.Log(logevent.RecordUndecodable, zap.String("stream", r.follower.stream), zap.Int64("offset", offset), zap.Error(err))
}

// restore adopts the newest whole snapshot if it covers the gap, then applies
// the records behind it.
func (r *cellRunner) restore() {
	snapshot, ok := r.gap.cover(r.machine.Offset())
	if !ok {
		return
	}
	r.trace.event(r.clock(), trace.SnapshotRestored{Data: snapshot.Data})
	if err := r.machine.Restore(snapshot.Data); err != nil {
		r.log.Log(logevent.SnapshotIgnored, zap.String("stream", r.follower.stream), zap.Int64("offset", snapshot.Covered), zap.Error(err))
		return
	}
	r.log.Log(logevent.SnapshotAdopted, zap.String("stream", r.follower.stream), zap.Int64("offset", snapshot.Covered), zap.String("source", "log"))
	for _, logged := range r.gap.release(r.machine.Offset()) {
		r.applyRecord(logged)
	}
}

// appendRecord hands a record to the stream's writer.
func (r *cellRunner) appendRecord(one *recordpb.Record) {
	item, err := record.Encode(one)
	if err == nil {
		_, err = r.writer.Submit(item)
	}
	if err != nil {
		r.log.Log(logevent.AppendUnresolved, zap.String("stream", r.follower.stream), zap.Error(err))
	}
}

// renewSnapshot writes a snapshot before the last one expires from the log,
// whether or not records have come since.
func (r *cellRunner) renewSnapshot(now time.Duration) {
	if r.snapshotAt == 0 {
		r.snapshotAt = now
	}
	if now-r.snapshotAt < r.host.snapshotInterval() || now >= r.own.PlaceUntil || r.machine.Offset() == 0 {
		return
	}
	r.appendSnapshot()
}

// appendSnapshot appends the machine's stream state in chunks.
func (r *cellRunner) appendSnapshot() {
	r.snapshotAt = r.clock()
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
