package coordinator

import (
	"context"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// WorkerClient sends commands to workers. The epoch is the fencing token of each
// command.
type WorkerClient interface {
	// Heartbeat renews the worker's lease, acknowledges ended runs and returns the
	// worker's report. The lease and the acknowledgement hold for the incarnation that it
	// names, as in Start; another one only reports.
	Heartbeat(ctx context.Context, epoch int64, h dispatch.Heartbeat) (workload.Report, dispatch.Answer)
	// Start starts a run on the incarnation that it names, and on no other one of the same id
	// unless the worker ends its connections.
	Start(ctx context.Context, epoch int64, s dispatch.Start) dispatch.StartResult
	// Stop stops a run.
	Stop(ctx context.Context, epoch int64, s dispatch.Stop) dispatch.Answer
	// Pace gives a run a part of its CPU time.
	Pace(ctx context.Context, epoch int64, p dispatch.Pace) dispatch.Answer
}

// WorkerDirectory lists the workers.
type WorkerDirectory interface {
	// Workers returns the current list, and whether it changed since the last call.
	// It must not be called concurrently.
	Workers(ctx context.Context) (list []workload.Worker, changed bool, err error)
}

// Declarations holds what the operators have declared.
type Declarations struct {
	// Manifest is nil if there is no valid one.
	Manifest *workload.Manifest
	// Evacuated is the set of evacuated data centres.
	Evacuated map[string]bool
}

// DeclarationSource follows the operators' declarations.
type DeclarationSource interface {
	// Next returns the current declarations. From the second call on it waits for a
	// change, for a limited time.
	Next(ctx context.Context) (Declarations, error)
}

// Platform holds the services of the platform that a node uses.
type Platform struct {
	Log Log
	// Owners stores the owner of each cell.
	Owners       KeyValueStore
	Snapshots    SnapshotStore
	Group        Group
	WorkerClient WorkerClient
	Directory    WorkerDirectory
	Declarations DeclarationSource
}
