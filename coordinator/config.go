package coordinator

import (
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
)

// Config holds the settings of a node that depend on the deployment.
type Config struct {
	// VM is the name of the node's VM.
	VM string
	// DataCentre is the data centre of the VM.
	DataCentre string
	// PeerAddress is the address at which other nodes reach this one.
	PeerAddress string
	// Cells is the number of cells; all nodes use the same number.
	Cells int
	// ReserveLevel is 0 for a node that owns cells regularly. Others are in reserve: they own
	// cells only while no node of a lower level owns one.
	ReserveLevel int
	// RejectsUnstartable: submissions that the workers can't start while they are of use are rejected.
	RejectsUnstartable bool
	// SuspendClock is a steady clock that counts the time for which the VM is
	// suspended; nil stands for the monotonic clock.
	SuspendClock func() time.Duration
	// MaxManifestAge is the age beyond which a manifest with tenants decides no call; 0 means
	// no limit.
	MaxManifestAge time.Duration
	// LogRetention is how long the log keeps records; 0 means that it is not known.
	LogRetention time.Duration
	// Dispatch holds the settings of the dispatch machine. Epoch and
	// PredecessorExpiry are set for each epoch.
	Dispatch dispatch.Config
}
