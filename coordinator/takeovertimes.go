package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/logevent"
)

// takeoverTimes are the times of the steps of an ownership up to its first placement, and of its
// last one, on the node's monotonic clock. A time of 0 means that the step has not been reached.
type takeoverTimes struct {
	// assignedAt is when the cell was assigned to this node.
	assignedAt time.Duration
	// began is when the attempt to open the epoch began that succeeded, readAt when both streams
	// had been read, openedAt when the Opened record was in the log, readyAt when the machine had
	// been built.
	began, readAt, openedAt, readyAt time.Duration
	// listedAt is when the list of workers arrived first, heardAt when a worker's first report did.
	listedAt, heardAt time.Duration
	// reports is the number of reports until the first placement.
	reports int
	// firstPlacedAt and lastPlacedAt are the times of the first and the last placement.
	firstPlacedAt, lastPlacedAt time.Duration
	placements                  int
	// leftAt is when the decisions ended.
	leftAt time.Duration
}

// noteEvent notes an event that is passed to the machine.
func (t *takeoverTimes) noteEvent(ev any, now time.Duration) {
	if t.firstPlacedAt > 0 {
		return
	}
	switch ev.(type) {
	case dispatch.WorkersListed:
		noteFirst(&t.listedAt, now)
	case dispatch.HeartbeatAnswered:
		noteFirst(&t.heardAt, now)
		t.reports++
	}
}

func noteFirst(at *time.Duration, now time.Duration) {
	if *at == 0 {
		*at = now
	}
}

// notePlaced notes a placement and reports whether it is the first one.
func (t *takeoverTimes) notePlaced(now time.Duration) bool {
	t.placements++
	t.lastPlacedAt = now
	noteFirst(&t.firstPlacedAt, now)
	return t.placements == 1
}

// reportTakeover logs the time that each step of the takeover took.
func (o *ownership) reportTakeover() {
	t := &o.times
	since := func(at, from time.Duration) time.Duration {
		if at == 0 || from == 0 {
			return 0
		}
		return max(0, at-from)
	}
	o.node.logger.Log(logevent.TakeoverTimed, zap.Int("cell", o.number), zap.Int64("epoch", o.epoch),
		zap.Duration("waited", since(t.began, t.assignedAt)), zap.Duration("read", since(t.readAt, t.began)),
		zap.Duration("opened", since(t.openedAt, t.readAt)), zap.Duration("ready", since(t.readyAt, t.openedAt)),
		zap.Duration("listed", since(t.listedAt, t.openedAt)), zap.Duration("heard", since(t.heardAt, t.openedAt)),
		zap.Int("reports", t.reports), zap.Duration("placed", since(t.firstPlacedAt, t.openedAt)))
}

// notePlacement notes a placement, and reports the takeover with the first one.
func (o *ownership) notePlacement() {
	if o.times.notePlaced(o.node.monotonicNow()) {
		o.reportTakeover()
	}
}

// reportEnd logs the end of the ownership.
func (o *ownership) reportEnd(reason string) {
	t, now := &o.times, o.node.monotonicNow()
	sincePlaced := time.Duration(0)
	if t.placements > 0 {
		sincePlaced = t.leftAt - t.lastPlacedAt
	}
	o.node.logger.Log(logevent.EpochEnded, zap.Int("cell", o.number), zap.Int64("epoch", o.epoch),
		zap.String("reason", reason), zap.Duration("duration", now-o.openedAt), zap.Int("placements", t.placements),
		zap.Duration("sincePlaced", sincePlaced), zap.Duration("handOver", now-t.leftAt))
}
