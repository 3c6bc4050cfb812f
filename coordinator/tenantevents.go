package coordinator

import (
	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/workload"
)

// reportTenants logs which tenants, keys, weights and caps a new version of the manifest
// changes: names and numbers, neither keys nor their digests.
func (n *Node) reportTenants(before, now *Declarations) {
	if now.Manifest == nil {
		return
	}
	var old workload.Tenants
	if before != nil && before.Manifest != nil {
		if before.Manifest.Version == now.Manifest.Version {
			return
		}
		old = before.Manifest.Tenants
	}
	c := workload.CompareTenants(old, now.Manifest.Tenants)
	version := zap.Int64("version", now.Manifest.Version)
	if c.KeysChanged() {
		n.logger.Log(logevent.TenantKeysChanged, version, zap.Strings("added", c.Added), zap.Strings("removed", c.Removed),
			zap.Strings("changed", c.Rekeyed), zap.Int("keysAdded", c.KeysAdded), zap.Int("keysRemoved", c.KeysRemoved))
	}
	if len(c.Resized) > 0 {
		n.logger.Log(logevent.TenantCapsChanged, version, zap.Strings("changed", c.Resized))
	}
}
