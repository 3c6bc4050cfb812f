package ownership

import (
	"slices"

	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// noteSynced stores the members that hold copies of a cell's request table, from this VM's
// own renewal that was read back.
func (m *Machine) noteSynced(c *cell, r *recordpb.Renew) {
	c.synced = r.Synced
	for vm, current := range m.members {
		if slices.Contains(r.Synced, record.MemberName(vm, current.incarnation)) {
			current.syncedAt = m.now
		}
	}
}

// mayReceive reports whether a cell of this VM may be released to a VM that has not asked for
// it. A receiver without a copy of the request table would refuse ids of callers that it does
// not know for as long as ids are kept. The wait for a copy ends after SyncWait, so that the
// cells are balanced also if a member can't be sent copies.
func (m *Machine) mayReceive(c *cell, vm string) bool {
	current := m.members[vm]
	if slices.Contains(c.synced, record.MemberName(vm, current.incarnation)) {
		return true
	}
	since := max(c.ownedAt, current.firstReadAt, current.syncedAt)
	return m.now >= since+m.config.SyncWait
}
