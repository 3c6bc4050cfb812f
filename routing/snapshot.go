package routing

import (
	"time"

	"github.com/cactusreel/cactusreel/api"
)

// Snapshot is the input of Router.Update: all that the next table holds.
type Snapshot struct {
	// Now is this VM's monotonic time.
	Now time.Duration
	// DataCentre is this VM's data centre.
	DataCentre string
	Services   []ServiceEntry
	// Workers are the workers of own cells.
	Workers []WorkerEntry
	// Peers are the published summaries of cells of other owners.
	Peers []PeerEntry
}

// ServiceEntry is one service.
type ServiceEntry struct {
	Name string
	Spec api.ServiceSpec
}

// WorkerEntry is one worker of an own cell.
type WorkerEntry struct {
	ID   string
	Cell int
	// Boot is the boot id; a new one makes a new backend server.
	Boot string
	// Address is the IP address and port of the backend server.
	Address string
	// Slots is fixed by the first listing of the worker.
	Slots int
	// Leaving is the VM list's word. It is sticky for the boot id.
	Leaving bool
	// Services are the names of the services that run on the worker.
	Services []string
}

// PeerEntry is the summary of a cell of another owner.
type PeerEntry struct {
	VM         string
	Address    string
	DataCentre string
	Cell       int
	// Serial tells summaries of the cell apart: the free slots are adopted
	// only with a new one, so that requests sent since are not forgotten.
	Serial uint64
	// Free has the free slots per service; a service without an entry does not
	// run in the cell.
	Free map[string]int
}

// CellSummary is what a cell's owner publishes to its peers.
type CellSummary struct {
	Cell int
	Term int64
	Free map[string]int
}
