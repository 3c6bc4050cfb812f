package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a task that is reported to wait for a worker while its owner places nothing,
// because it may grant no lease that is long enough.
func TestWaitForALeaseThatIsLongEnoughIsNamed(t *testing.T) {
	is := is.New(t)
	f := newMoveFixture("a")
	limit := 5 * time.Second
	f.config.LeaseLimit = func() time.Duration { return limit }
	is.Equal(f.placementWait(), waitPlacement)
	limit = minStartLease - time.Millisecond
	is.Equal(f.placementWait(), waitShortLease)
}
