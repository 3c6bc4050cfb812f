package standin

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// vmChange is a change of one VM. A nil vm means that it is gone.
type vmChange struct {
	at time.Duration
	id string
	vm *hostapi.VM
}
