package coordinator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
)

// Guards against reads of an idle intake that follow each other without a pause, because a
// short limit of its view leaves no time to wait for a record.
func TestReadsOfTheIntakeWaitWithEachLimit(t *testing.T) {
	for limit := 500 * time.Millisecond; limit <= 5*time.Second; limit += 100 * time.Millisecond {
		is := is.New(t)
		n := &Node{cells: make([]*cell, 2)}
		n.config.Dispatch.MaxViewAge[dispatch.Intake] = limit
		is.True(n.intakeWait() >= limit/10)
		is.True(2*n.intakeWait() < limit) // else the view expires between two answers
	}
}
