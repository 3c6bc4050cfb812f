package routing

import (
	"time"

	"github.com/cactusreel/cactusreel/api"
)

// Snapshot is the input of Router.Update: the complete content of the next
// routing table.
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
	// Boot is the boot id. A new boot id is a new backend server.
	Boot string
	// Address is the IP address and port of the backend server.
	Address string
	// Slots is the number of slots. Only the value of the worker's first
	// listing is used.
	Slots int
	// Leaving is set if the VM list marks the worker as leaving. It remains in
	// force for this boot id.
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
	// Serial identifies a summary of the cell. The free slots are adopted only
	// from a summary with a new serial, so that requests sent since the last
	// one still count.
	Serial uint64
	// Free is the number of free slots per service. A service without an entry
	// does not run in the cell.
	Free map[string]int
}

// CellSummary is what a cell's owner publishes to its peers.
type CellSummary struct {
	Cell int
	Term int64
	Free map[string]int
}
