package entry

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// snapshotShare is the part of the log's retention after which the next
// snapshot is due: three more attempts fit before the last one expires.
const snapshotShare = 4

// snapshotResources appends a snapshot of the resources if one is due and it
// is this VM's turn.
func (n *Node) snapshotResources(context.Context) {
	now := n.clock()
	age := now - time.Duration(n.feed.snapshotReadAt.Load())
	interval := n.snapshotInterval()
	grown := n.feed.recordsSinceSnapshot.Load() >= int64(n.settings.Limits.SnapshotRecords)
	// An unchanged store is written again too: the last snapshot expires.
	old := age >= interval && n.feed.store.View().Offset() > 0
	if !n.writesSnapshots(age >= interval+interval/2) || (!grown && !old) {
		return
	}
	if now-n.feed.snapshotAttemptedAt < n.settings.Times.WriteWait {
		return
	}
	n.feed.snapshotAttemptedAt = now
	n.appendResourceSnapshot()
}

// snapshotInterval is the longest time between two snapshots of a stream.
func (n *Node) snapshotInterval() time.Duration {
	return n.settings.Times.LogRetention / snapshotShare
}

// writesSnapshots reports whether it is this VM's turn: that of the owner of
// cell 0 in the first declared data centre, or of any cell 0 once a snapshot
// is overdue. Two snapshots at a time do no harm.
func (n *Node) writesSnapshots(overdue bool) bool {
	claims := n.claims.Load()
	if claims == nil {
		return false
	}
	if views := claims.Views(); len(views) == 0 || views[0].OwnState != ownership.StateHeld {
		return false
	}
	centres := n.feed.store.View().List(api.KindDataCentre)
	return overdue || (len(centres) > 0 && centres[0].Name == n.settings.DataCentre)
}

func (n *Node) appendResourceSnapshot() {
	data, offset, err := n.feed.snapshot()
	if err != nil {
		return
	}
	id := fmt.Sprintf("%s-%x-%d", n.settings.VM, n.incarnation, offset)
	chunks, err := record.SplitSnapshot(id, offset, data)
	if err != nil {
		n.events.Log(logevent.SnapshotIgnored, zap.String("stream", record.ResourcesStream), zap.Int64("offset", offset), zap.Error(err))
		return
	}
	for _, chunk := range chunks {
		item, err := record.Encode(&recordpb.Record{Chunk: chunk})
		if err != nil {
			return
		}
		if _, err := n.feed.writer.Submit(item); err != nil {
			return
		}
	}
	n.events.Log(logevent.SnapshotWritten, zap.String("stream", record.ResourcesStream), zap.Int64("offset", offset), zap.Int("chunks", len(chunks)), zap.Int("bytes", len(data)))
}
