package coordinator

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/logevent"
)

// Guards against a line for each event of an owner that is behind, and against a report on a
// notification that was queued in an earlier epoch of the node and has waited since then.
func TestLongWaitOfEventsIsReportedOnce(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	logger, err := logevent.New(&log, "info")
	is.NoErr(err)
	node := &Node{startedAt: time.Now().Add(-time.Hour), logger: logger, metrics: NewMetrics()}
	o := &ownership{cell: &cell{node: node}, openedAt: node.monotonicNow()}
	o.observeWait("notifications", node.monotonicNow()-time.Minute)
	is.Equal(log.String(), "")
	o.openedAt = node.monotonicNow() - 10*time.Second
	for range 100 {
		o.observeWait("events", node.monotonicNow()-time.Second)
	}
	is.Equal(strings.Count(log.String(), "OwnerBehind"), 1)
}
