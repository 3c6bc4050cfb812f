package bench

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// template is a recurring job with its true and declared values.
type template struct {
	name                     string
	class                    Class
	cpu, memory, soloSeconds float64
	declared                 hostapi.Resources
	runTime                  time.Duration
	impossible               bool
}
