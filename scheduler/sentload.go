package scheduler

import (
	"time"

	"github.com/cactusreel/cactusreel/platform"
)

// sentLoad is what was sent to a cell since its summary was made.
type sentLoad struct {
	at   time.Duration
	sum  platform.Resources
	jobs map[string]int
}
