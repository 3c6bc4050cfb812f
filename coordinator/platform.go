package coordinator

import (
	"context"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// Fleet sends orders to workers. The epoch is the fencing token of each order.
type WorkerClient interface {
	Heartbeat(ctx context.Context, epoch int64, h dispatch.Heartbeat) (workload.Report, dispatch.Answer)
	// Start returns the worker's clock too, or 0.
	Start(ctx context.Context, epoch int64, s dispatch.Start) (dispatch.Answer, time.Duration)
	Stop(ctx context.Context, epoch int64, s dispatch.Stop) dispatch.Answer
}

// Directory lists the workers.
type WorkerDirectory interface {
	// Workers returns the present list, and whether it changed since the last call.
	Workers(ctx context.Context) (list []workload.Worker, changed bool, err error)
}

// Declared is what the operators have declared.
type Declarations struct {
	Manifest  *workload.Manifest
	Evacuated map[string]bool
}

// Declarations follows what the operators declare.
type DeclarationSource interface {
	// Next returns the present declarations. It waits for a change after the
	// first call, for a limited time.
	Next(ctx context.Context) (Declarations, error)
}

// Platform is all that a node uses of the platform.
type Platform struct {
	Log          Log
	Owners       KeyValueStore
	Snapshots    SnapshotStore
	Group        Group
	WorkerClient WorkerClient
	Directory    WorkerDirectory
	Declarations DeclarationSource
}
