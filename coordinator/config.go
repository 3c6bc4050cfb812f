package coordinator

import (
	"github.com/cactusreel/cactusreel/dispatch"
)

// Config is what a node needs to know of its deployment.
type Config struct {
	// VM is the node's name.
	VM string
	// DataCentre is where the node is.
	DataCentre string
	// PeerAddress is where other nodes reach this one.
	PeerAddress string
	// Cells is the number of cells; all nodes use the same number.
	Cells int
	// Reserve tells that the node takes cells over only if nobody owns them.
	Reserve bool
	// Dispatch holds the figures of the dispatch machine, without an epoch.
	Dispatch dispatch.Config
}
