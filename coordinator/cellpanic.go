package coordinator

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/logevent"
)

// reportPanic logs and counts a recovered panic in the handling of the cell's state.
func (c *cell) reportPanic(v any) {
	c.node.metrics.count("panics", "cell", fmt.Sprint(c.number))
	c.node.logger.Log(logevent.CellPanicked, zap.Int("cell", c.number), zap.String("error", fmt.Sprint(v)), zap.String("stack", string(debug.Stack())))
}

// resetState discards the cell's state, which a panic may have left inconsistent. The
// assignment is dropped too, so that the node waits for the next join before it opens
// another epoch.
func (c *cell) resetState() {
	c.state.Store(ledger.New())
	c.intakeNext, c.cellNext, c.snapshotNext, c.unapplied, c.caughtUpAt, c.snapshotReadAt = 0, 0, 0, nil, 0, 0
	c.unreadable = nil
	c.generation.Store(0)
}
