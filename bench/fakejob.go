package bench

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// fakeJob is a job or a service with its true properties.
type fakeJob struct {
	id         string
	kind       int
	team       string
	class      Class
	service    *Service
	declared   hostapi.Resources
	runTime    time.Duration
	impossible bool
	cancelled  bool
	// running counts the replicas of a service.
	running int
}
