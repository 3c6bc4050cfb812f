package standin

import (
	"time"
)

// FaultEvent is a fault that was switched on or off.
type FaultEvent struct {
	At    time.Duration `json:"at"`
	Fault Fault         `json:"fault"`
}
