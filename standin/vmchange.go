package standin

import (
	"time"

	"github.com/cactusreel/cactusreel/platform"
)

// vmChange is a change of one VM. A nil vm means that it is gone.
type vmChange struct {
	at time.Duration
	id string
	vm *platform.VM
}
