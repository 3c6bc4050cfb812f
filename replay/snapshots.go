package replay

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
	"github.com/cactusreel/cactusreel/trace"
)

// Names of the events that concern snapshots of a stream. They are no events
// of a machine: the reader of the stream acts on them.
const (
	// chunkRead brings one chunk of a snapshot.
	chunkRead = "ChunkRead"
	// restoreAsked adopts the newest whole snapshot of the chunks read.
	restoreAsked = "RestoreAsked"
)

// errNoChunk means that a chunk is missing.
var errNoChunk = errors.New("the chunk is missing")

// snapshotStep handles the events that concern snapshots, and reports whether
// the event was one. Its actions are "Whole" for a chunk that completes a
// newer snapshot, "Restored" and "NotRestored".
func snapshotStep(chunks *record.Assembler, event string, data json.RawMessage, restore func([]byte, int64) (bool, error)) (bool, []action, error) {
	switch event {
	case chunkRead:
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
	case restoreAsked:
		newest, ok := chunks.Newest()
		if !ok {
			return true, []action{{name: "NotRestored", content: snapshotAction{Reason: "no whole snapshot"}}}, nil
		}
		return true, []action{restored(newest, restore)}, nil
	case trace.SnapshotRestored{}.Type():
		var e trace.SnapshotRestored
		if err := trace.DecodeStrict(data, &e); err != nil {
			return true, nil, fmt.Errorf("event %s: %w", event, err)
		}
		return true, []action{restored(record.Snapshot{Data: e.Data}, restore)}, nil
	}
	return false, nil, nil
}

func restored(s record.Snapshot, restore func([]byte, int64) (bool, error)) action {
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
