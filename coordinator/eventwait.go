package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/metrics"
)

const (
	// longEventWait is the wait of an event from which the owner counts as behind. Callers
	// are promised that a cancellation takes effect within seconds.
	longEventWait = 500 * time.Millisecond
	// behindReportInterval is the least time between two reports of long waits.
	behindReportInterval = 5 * time.Second
)

// queuedEvent is an event in an owner's queue.
type queuedEvent struct {
	event any
	// postedAt is when the event was to be queued; a full queue delays it.
	postedAt time.Duration
}

// observeWait measures how long an event has waited for the event loop since a time. What
// was queued before the epoch waits from its begin.
func (o *ownership) observeWait(source string, since time.Duration) {
	now := o.node.monotonicNow()
	wait := now - max(since, o.openedAt)
	o.node.metrics.observeDuration(metrics.Name("event_wait_microseconds", "source", source), wait)
	if wait < longEventWait || o.behindReportedAt > 0 && now-o.behindReportedAt < behindReportInterval {
		return
	}
	o.behindReportedAt = now
	o.node.logger.Log(logevent.OwnerBehind, zap.Int("cell", o.number), zap.Int64("epoch", o.epoch),
		zap.String("source", source), zap.Duration("duration", wait))
}
