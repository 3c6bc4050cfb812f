package replay

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
	"github.com/cactusreel/cactusreel/trace"
)

// Names of the events that concern snapshots of a stream. They are not events of a
// machine: in production the reader of the stream handles them.
const (
	// eventChunkRead is the read of one chunk of a snapshot.
	eventChunkRead = "ChunkRead"
	// eventRestoreAsked requests a restore from the newest complete snapshot among
	// the chunks read.
	eventRestoreAsked = "RestoreAsked"
)

// errNoChunk means that an event ChunkRead has no data.
var errNoChunk = errors.New("the chunk is missing")

// stepSnapshot handles the events that concern snapshots, and reports whether the
// event was one of them. Its actions are "Whole" for a chunk that completes a newer
// snapshot, "Restored" and "NotRestored".
func stepSnapshot(chunks *record.Assembler, event string, data json.RawMessage, restore func([]byte, int64) (bool, error)) (bool, []action, error) {
	switch event {
	case eventChunkRead:
		chunk := new(recordpb.SnapshotChunk)
		if err := trace.DecodeStrict(data, chunk); err != nil {
			return true, nil, fmt.Errorf("event %s: %w", event, err)
		}
		if data == nil {
			return true, nil, errNoChunk
		}
		if !chunks.Add(chunk) {
			return true, nil, nil
		}
		return true, []action{{name: "Whole", content: snapshotAction{Snapshot: chunk.Snapshot, Covered: chunk.Covered}}}, nil
	case eventRestoreAsked:
		newest, ok := chunks.Newest()
		if !ok {
			return true, []action{{name: "NotRestored", content: snapshotAction{Reason: "no whole snapshot"}}}, nil
		}
		return true, []action{restoreSnapshot(newest, restore)}, nil
	case trace.SnapshotRestored{}.Type():
		var e trace.SnapshotRestored
		if err := trace.DecodeStrict(data, &e); err != nil {
			return true, nil, fmt.Errorf("event %s: %w", event, err)
		}
		return true, []action{restoreSnapshot(record.Snapshot{Data: e.Data}, restore)}, nil
	}
	return false, nil, nil
}

// restoreSnapshot restores a snapshot and returns the action "Restored", or
// "NotRestored" if the machine rejects it or has applied at least as much.
func restoreSnapshot(s record.Snapshot, restore func([]byte, int64) (bool, error)) action {
	a := snapshotAction{Snapshot: s.ID, Covered: s.Covered}
	adopted, err := restore(s.Data, s.Covered)
	switch {
	case err != nil:
		a.Reason = err.Error()
	case !adopted:
		a.Reason = "not newer than what has been applied"
	default:
		return action{name: "Restored", content: a}
	}
	return action{name: "NotRestored", content: a}
}
