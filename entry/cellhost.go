package entry

import (
	"context"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
	"github.com/cactusreel/cactusreel/tasks"
)

// cellHost is the part of a node that a cell runner uses.
type cellHost interface {
	// workerAgent returns the client of a worker's agent, or false if none is
	// known.
	workerAgent(worker string) (hostapi.WorkerAgent, bool)
	offerMove(ctx context.Context, a tasks.OfferMove)
	confirmMove(ctx context.Context, a tasks.ConfirmMove)
	// declaredWork returns the newest declared work, or nil before the first
	// record.
	declaredWork() *declaredWork
	// vmList returns the newest VM list of the data centre.
	vmList() *vmList
	// leavingServers returns the boot ids of the workers whose backend servers
	// report that they are leaving, by worker.
	leavingServers() map[string]string
	// cellCount returns the number of cells of the data centre.
	cellCount() int
	// startUntil returns the end of the start authority on the local clock.
	startUntil() time.Duration
	// claimsReadAt returns when the last successful read of the claims stream
	// was sent, on the local clock.
	claimsReadAt() time.Duration
	// latencyP99 returns the recent p99 time to the response head of a service
	// on a backend server, or 0 when unknown.
	latencyP99(service, address string) time.Duration
	// otherCellSummaries returns the summaries of this VM's cells except one
	// and of the peers' cells that accept tasks.
	otherCellSummaries(cell int) []scheduler.CellSummary
	// workerTimeout returns the timeout of a call to a worker agent.
	workerTimeout() time.Duration
	// snapshotInterval returns the maximum time between two snapshots of a
	// stream.
	snapshotInterval() time.Duration
}
