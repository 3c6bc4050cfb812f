package coordinator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against planning rounds that follow one another without a pause, so that reports and
// renewals of leases wait behind them: on a crowded deployment each took 23 ms, and events
// half a second.
func TestPlanningLeavesTimeForOtherEvents(t *testing.T) {
	is := is.New(t)
	is.Equal(planDelay(time.Millisecond), time.Duration(0))
	for _, took := range []time.Duration{longStep, 23 * time.Millisecond, 60 * time.Millisecond} {
		is.True(took <= (took+planDelay(took))/planningShare)
	}
	// However long a round takes, work that waits is placed.
	is.Equal(planDelay(time.Minute), maxPlanDelay)
}
