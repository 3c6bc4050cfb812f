package standin

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// vmChange is a change of a VM. A nil vm means that the VM was removed.
type vmChange struct {
	at time.Duration
	id string
	vm *hostapi.VM
}
