package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
)

// handOverInterval is the time between two extensions of the leases after an ownership.
const handOverInterval = time.Second

// handOverPollInterval is the time between two looks at what the witnesses hold.
const handOverPollInterval = 10 * time.Millisecond

// assignmentChanged handles a change of the assignment or a request to resign. It returns the
// reason for which the ownership ends, or "". An owner that loses its assignment goes on until its
// successor, which reads the cell meanwhile, requests it to resign or has opened its epoch, and for
// leavingTime at most. Its authority is that of the last join that assigned the cell.
func (o *ownership) assignmentChanged(ctx context.Context) (reason string) {
	switch {
	case o.resignedEpoch.Load() >= o.epoch:
		return resigned
	case o.generation.Load() != 0:
		o.leavingSince = 0
		o.proveEpoch()
		o.wg.Go(func() { o.verifyEpoch(ctx) })
	case !o.hasAuthority():
		return assignmentEnded
	case o.leavingSince == 0:
		o.leavingSince = o.node.monotonicNow()
	}
	return ""
}

// isHandedOver reports whether the owner gives the cell up, rather than losing it.
func (o *ownership) isHandedOver(reason string) bool {
	return o.hasAuthority() && (reason == assignmentEnded || reason == resigned && o.leavingSince > 0)
}

// handOver extends the leases of the workers at the end of the ownership, in the background, until
// they last for the lease of a hand-over. No extension is longer than the usual lease: if the
// process ends, a successor that knows of it waits for no longer one, and none is longer than
// the witnesses allow. done is called at the end.
func (o *ownership) handOver(parent context.Context, done func()) {
	began := o.node.monotonicNow()
	// A successor that hears nothing from this owner expects no later leases.
	lease := min(o.node.config.Dispatch.HandoverLease, o.joinedLeaseLimit())
	heartbeats := o.machine.HandOver(began, lease)
	withhold := func() time.Duration {
		if o.witnesses.LimitsWorkers() {
			return lease
		}
		grantable := min(o.node.config.Dispatch.Lease, o.witnesses.LeaseLimit(o.node.authorityNow(), o.node.config.Dispatch.Lease))
		return max(0, lease-grantable-(o.node.monotonicNow()-began))
	}
	o.node.wg.Go(func() {
		defer done()
		o.endReports(parent)
		withheld := withhold()
		heartbeats = o.extendLeases(parent, heartbeats, withheld)
		for withheld > 0 && len(heartbeats) > 0 && sleep(parent, handOverInterval) && o.newestEpoch.Load() == o.epoch && o.node.monotonicNow()-began < lease {
			withheld = withhold()
			heartbeats = o.extendLeases(parent, heartbeats, withheld)
		}
	})
}

// endReports reports no leases any more, so that they can be extended, and waits briefly until a
// majority of the witnesses holds that report.
func (o *ownership) endReports(ctx context.Context) {
	o.witnesses.EndReports()
	signal(o.lastReportMade)
	for began := o.node.monotonicNow(); o.witnesses.LimitsWorkers() && o.node.monotonicNow()-began < handOverTimeout; {
		if !sleep(ctx, handOverPollInterval) {
			return
		}
	}
}

// handOverTime returns how long an owner goes on extending leases after it gave the cell up.
func (c *cell) handOverTime() time.Duration {
	return max(0, c.node.config.Dispatch.HandoverLease-c.node.config.Dispatch.Lease)
}

// extendLeases sends heartbeats whose leases end earlier by a duration, as far as they are not
// shorter anyway. It returns those whose workers have not refused them: such a worker has a new
// owner.
func (o *ownership) extendLeases(ctx context.Context, heartbeats []dispatch.Heartbeat, earlier time.Duration) []dispatch.Heartbeat {
	call, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	refused := make([]bool, len(heartbeats))
	var wg sync.WaitGroup
	for i, h := range heartbeats {
		h.Deadline -= max(0, earlier-h.Shorter)
		wg.Go(func() {
			_, answer := o.node.platform.WorkerClient.Heartbeat(call, o.epoch, h)
			refused[i] = answer == dispatch.Fenced || answer == dispatch.WrongWorker
		})
	}
	wg.Wait()
	var left []dispatch.Heartbeat
	for i, h := range heartbeats {
		if !refused[i] {
			left = append(left, h)
		}
	}
	return left
}
