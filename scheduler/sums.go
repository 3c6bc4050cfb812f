package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// sums holds resource usage by team, and numbers of replicas by service and rack.
type sums struct {
	teamUsage    map[string]hostapi.Resources
	rackReplicas map[jobRack]int
}
