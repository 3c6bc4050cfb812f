package coordinator

import (
	"context"
	"maps"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/logevent"
)

// followDeclarations follows the manifest and the set of evacuated data centres.
// A manifest is never replaced by an older version.
func (n *Node) followDeclarations(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		sent, sentCountingSuspensions := n.monotonicNow(), n.authorityNow()
		d, err := n.platform.Declarations.Next(ctx)
		if err != nil {
			if !failing && ctx.Err() == nil {
				n.logError(logevent.DeclarationsLost, err)
			}
			failing = true
			sleep(ctx, logRetryDelay)
			continue
		}
		if failing {
			n.logger.Log(logevent.DeclarationsRegained)
		}
		failing = false
		n.recordStoreResponse()
		n.applyDeclarations(d)
		n.declarationsReadAt.Store(int64(sent))
		n.manifestRead(sentCountingSuspensions)
		for _, c := range n.cells {
			c.signalEvacuation()
		}
	}
}

func (n *Node) applyDeclarations(d Declarations) {
	before := n.declarations.Load()
	if before != nil && before.Manifest != nil && (d.Manifest == nil || d.Manifest.Version < before.Manifest.Version) {
		d.Manifest = before.Manifest
	}
	n.declarations.Store(&d)
	if d.Manifest != nil && (before == nil || before.Manifest == nil || before.Manifest.Version != d.Manifest.Version) {
		n.logger.Log(logevent.ManifestAdopted, zap.Int64("version", d.Manifest.Version), zap.Int("queues", len(d.Manifest.Queues)))
	}
	n.reportTenants(before, &d)
	if before == nil || !maps.Equal(before.Evacuated, d.Evacuated) {
		n.logger.Log(logevent.EvacuationChanged, zap.Any("dataCentres", d.Evacuated))
	}
}
