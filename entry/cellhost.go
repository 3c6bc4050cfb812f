package entry

import (
	"context"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
	"github.com/cactusreel/cactusreel/tasks"
)

// cellHost is what a runner needs of its node.
type cellHost interface {
	workerAgent(worker string) (hostapi.WorkerAgent, bool)
	offerMove(ctx context.Context, a tasks.OfferMove)
	confirmMove(ctx context.Context, a tasks.ConfirmMove)
	// declaredWork returns the newest declaredWork work and what placement needs of it.
	declaredWork() *declaredWork
	// workerList returns the newest VM list of the data centre.
	workerList() *workerList
	// leavingServers returns the workers whose backend servers say that they
	// are leaving, with the boot id that the word is about.
	leavingServers() map[string]string
	// cellCount returns the number of cellCount of the data centre.
	cellCount() int
	// startUntil is the end of freshness, claimsReadAt the last successful
	// read of the claims stream, both on the local clock.
	startUntil() time.Duration
	claimsReadAt() time.Duration
	// latencyP99 returns the recent p99 of the response heads of a service on a
	// backend server, 0 when unknown.
	latencyP99(service, address string) time.Duration
	// otherCellSummaries returns summaries of cells of other owners and of this VM.
	otherCellSummaries(cell int) []scheduler.CellSummary
	workerTimeout() time.Duration
	// snapshotInterval is the longest time between two snapshots of a stream.
	snapshotInterval() time.Duration
}
