package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/logevent"
)

const (
	// longStep is the time from which a step counts as long: only a planning round takes so
	// long, with much waiting work that fits nowhere.
	longStep = 2 * time.Millisecond
	// planningShare is the share of an owner's time that planning may take, as a divisor.
	// The rest is left for the events that wait behind a round.
	planningShare = 3
	// maxPlanDelay is the longest time for which a planning round is put off.
	maxPlanDelay = 150 * time.Millisecond
	// saturationReportInterval is the least time between two reports of a saturated owner.
	saturationReportInterval = 5 * time.Second
)

// planDelay returns for how long no planning round may follow a step that took a time.
func planDelay(took time.Duration) time.Duration {
	if took < longStep {
		return 0
	}
	return min((planningShare-1)*took, maxPlanDelay)
}

// pacePlanning leaves time for other events after a step that took long.
func (o *ownership) pacePlanning(took time.Duration) {
	delay := planDelay(took)
	if delay == 0 {
		return
	}
	now := o.node.monotonicNow()
	o.machine.DelayPlanning(now + delay)
	o.node.metrics.observePlanDelay(delay)
	if delay == maxPlanDelay && now-o.saturationReportedAt >= saturationReportInterval {
		o.saturationReportedAt = now
		o.node.logger.Log(logevent.OwnerSaturated, zap.Int("cell", o.number), zap.Int64("epoch", o.epoch), zap.Duration("duration", took))
	}
}
