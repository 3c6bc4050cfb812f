package bench

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// fakeJob is a job or a service with properties that the policy can't observe.
type fakeJob struct {
	id         string
	kindIndex  int
	team       string
	class      Class
	service    *Service
	declared   hostapi.Resources
	runTime    time.Duration
	impossible bool
	cancelled  bool
	// running is the number of running replicas of a service.
	running int
}
