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

// snapshotsPerRetention is the number of snapshot intervals per retention time
// of the log. After a failed attempt, three more fit before the last snapshot
// expires.
const snapshotsPerRetention = 4

// snapshotResourcesIfDue appends a snapshot of the resources if one is due and
// this VM is the one to write it.
func (n *Node) snapshotResourcesIfDue(context.Context) {
	now := n.clock()
	age := now - time.Duration(n.feed.snapshotReadAt.Load())
	interval := n.snapshotInterval()
	manyRecords := n.feed.recordsSinceSnapshot.Load() >= int64(n.settings.Limits.SnapshotRecords)
	// An unchanged store needs a new snapshot too, because the last one expires.
	expiring := age >= interval && n.feed.store.View().Offset() > 0
	if !n.isSnapshotWriter(age >= interval+interval/2) || (!manyRecords && !expiring) {
		return
	}
	if now-n.feed.snapshotAttemptedAt < n.settings.Times.WriteWait {
		return
	}
	n.feed.snapshotAttemptedAt = now
	n.appendResourceSnapshot()
}

// snapshotInterval returns the maximum time between two snapshots of a stream.
func (n *Node) snapshotInterval() time.Duration {
	return n.settings.Times.LogRetention / snapshotsPerRetention
}

// isSnapshotWriter reports whether this VM writes the snapshots of the
// resources: it holds cell 0 of the first declared data centre or, once a
// snapshot is overdue, cell 0 of any data centre. Concurrent snapshots by two
// VMs are harmless.
func (n *Node) isSnapshotWriter(overdue bool) bool {
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
