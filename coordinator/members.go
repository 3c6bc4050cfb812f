package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/logevent"
)

const (
	// memberMemory is how long after its last call a node counts as one that may succeed the
	// owner: it may be cut off from the owner and not from the store.
	memberMemory = time.Minute
	// membersKnownAfter is the age of an epoch from which its owner knows all nodes that reach
	// it: each calls again within that time.
	membersKnownAfter = witnessMemory
	// maxMembers limits the nodes that are remembered.
	maxMembers = 1024
	// olderFormInterval is how often a snapshot is also written in the form of earlier versions.
	olderFormInterval = 30 * time.Second
)

// member is a node that may succeed the owner, as its calls tell.
type member struct {
	vm string
	// reads is the newest format that it reads, or 0 if it states none.
	reads    int32
	calledAt time.Duration
}

// members are the nodes whose calls wait for the end of this node's ownership of a cell, by
// address. Those of versions that don't name themselves count as one.
type members struct {
	mu  sync.Mutex
	all map[string]member
}

func (m *members) note(q *coordpb.AwaitEndRequest, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.all == nil {
		m.all = make(map[string]member)
	}
	m.forget(now)
	if _, known := m.all[q.PeerAddress]; !known && len(m.all) >= maxMembers {
		return
	}
	m.all[q.PeerAddress] = member{vm: cmp.Or(q.Vm, "unnamed"), reads: q.Reads, calledAt: now}
}

// forget removes the nodes that have not called lately. The caller holds the lock.
func (m *members) forget(now time.Duration) {
	maps.DeleteFunc(m.all, func(_ string, one member) bool { return now-one.calledAt > memberMemory })
}

// withoutFormat returns the VMs that may succeed the owner and don't state that they read a
// format.
func (m *members) withoutFormat(format int32, now time.Duration) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(now)
	var out []string
	for _, one := range m.all {
		if one.reads < format {
			out = append(out, one.vm)
		}
	}
	slices.Sort(out)
	return out
}

// snapshotForm returns the form of the next snapshot, one that all nodes that may succeed this
// owner find, and the VMs for which it is not the newest form alone.
func (o *ownership) snapshotForm(now time.Duration) (SnapshotForm, []string) {
	older := o.members.withoutFormat(1, now)
	switch {
	case len(older) == 0 && now-o.openedAt >= membersKnownAfter:
		return NewestForm, nil
	case len(older) == 0 || o.olderFormAt != 0 && now-o.olderFormAt < olderFormInterval:
		return KeepOlderForm, older
	}
	return WriteOlderForm, older
}

// noteSaved records that a snapshot of a number of appends was saved in a form.
func (o *ownership) noteSaved(form SnapshotForm, appends int, older []string, now time.Duration) {
	if form != WriteOlderForm || appends == 1 {
		return
	}
	o.olderFormAt = now
	for _, vm := range older {
		o.node.metrics.count("snapshots_in_older_form", "vm", vm)
	}
	if names := strings.Join(older, " "); names != o.olderFormFor {
		o.olderFormFor = names
		o.node.logger.Log(logevent.OlderSnapshotForm, zap.Int("cell", o.number), zap.Int64("epoch", o.epoch), zap.String("vm", names))
	}
}
