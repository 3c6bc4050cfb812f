package standin

import (
	"time"
)

// FaultEvent records that a fault was switched on or off.
type FaultEvent struct {
	At    time.Duration `json:"at"`
	Fault Fault         `json:"fault"`
}
