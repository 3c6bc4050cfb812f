package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/logevent"
)

// slowAnswer is the time that a slow store takes for an answer, with a margin.
const slowAnswer = 300 * time.Millisecond

// intakeWait returns the maximum time for which the log may delay its answer to a read
// of the intake. Other cells rely on the owner's view of it, which may be twice as old,
// and a view of an idle intake must not become too old for starts between two answers.
func (n *Node) intakeWait() time.Duration {
	wait := intakeReadWait
	if len(n.cells) > 1 {
		wait = sharedIntakeReadWait
	}
	if limit := n.config.Dispatch.MaxViewAge[dispatch.Intake]; limit > 0 {
		// Without a wait the reads of an idle intake would take up the store's rate.
		wait = min(wait, max(limit/2-slowAnswer, limit/4))
	}
	return wait
}

// directoryInterval returns the pause between reads of the list of workers.
func (n *Node) directoryInterval() time.Duration {
	if limit := n.config.Dispatch.MaxViewAge[dispatch.WorkerList]; limit > 0 {
		return min(directoryReadInterval, limit/3)
	}
	return directoryReadInterval
}

// applyDeclarations passes the tenants and the evacuated data centres to the machine, with the time for
// which they are known. The tenants come first, because the evacuated data centres begin a planning round.
func (o *ownership) applyDeclarations(ctx context.Context) {
	// The declarations are at least as new as a time of reading that is loaded before them.
	readAt := o.node.declarationsReadAt.Load()
	if d := o.node.declarations.Load(); d != nil {
		if d.Manifest != nil {
			o.step(ctx, dispatch.TenantsDeclared{Version: d.Manifest.Version, Tenants: d.Manifest.Tenants})
			o.step(ctx, dispatch.ViewRead{View: dispatch.Manifest, SentAt: time.Duration(readAt)})
		}
		o.step(ctx, dispatch.Evacuated{DataCentres: d.Evacuated})
		o.step(ctx, dispatch.ViewRead{View: dispatch.Evacuations, SentAt: time.Duration(readAt)})
	}
}

// intakeAge returns for how long the owner has not read its intake to the end.
func (c *cell) intakeAge() time.Duration {
	return c.node.monotonicNow() - time.Duration(c.intakeReadAt.Load())
}

// intakeKnown records that all intake records of a time have been applied.
func (o *ownership) intakeKnown(ctx context.Context, at time.Duration) {
	o.intakeReadAt.Store(int64(at))
	o.step(ctx, dispatch.ViewRead{View: dispatch.Intake, SentAt: at})
}

func (o *ownership) reportExpired(a dispatch.ViewExpired) {
	o.node.metrics.countExpiredView(a.View)
	o.node.logger.Log(logevent.ViewExpired, zap.Int("cell", o.number), zap.Int64("epoch", o.epoch),
		zap.String("view", a.View.String()), zap.Duration("age", a.Age))
}

func (o *ownership) reportRenewed(a dispatch.ViewRenewed) {
	o.node.metrics.observeRenewedView(a.View, a.Age)
	o.node.logger.Log(logevent.ViewRenewed, zap.Int("cell", o.number), zap.Int64("epoch", o.epoch),
		zap.String("view", a.View.String()), zap.Duration("age", a.Age))
}
