package standin

import (
	"github.com/cactusreel/cactusreel/hostapi"
)

// Addresses tells where a Platform listens, as IP addresses and ports.
type Addresses struct {
	// Admin serves /fault, /history, /events and /addresses.
	Admin string `json:"admin"`
	// Log and VMs hold one address per data centre, all of the same log and
	// the same list, so that a fault can cut off one data centre.
	Log map[string]string `json:"log"`
	VMs map[string]string `json:"vms"`
	// Workers are all workers, as in the VM list.
	Workers []hostapi.VM `json:"workers"`
}
