package standin

import (
	"github.com/cactusreel/cactusreel/hostapi"
)

// Addresses are the listen addresses of a Platform, as IP addresses and ports.
type Addresses struct {
	// Admin serves /fault, /history, /events and /addresses.
	Admin string `json:"admin"`
	// Log and VMs map each data centre to its address. All addresses serve the
	// same log and the same VM list; there is one per data centre so that a
	// fault can cut off a single data centre.
	Log map[string]string `json:"log"`
	VMs map[string]string `json:"vms"`
	// Workers are the VM list entries of all workers.
	Workers []hostapi.VM `json:"workers"`
}
