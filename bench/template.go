package bench

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// template is a job that recurs, with its true and declared values.
type template struct {
	name              string
	class             Class
	cpu, memory, work float64
	declared          hostapi.Resources
	runTime           time.Duration
	impossible        bool
}
