package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// sums are amounts by team and replicas by service and rack.
type sums struct {
	teamUsage    map[string]hostapi.Resources
	rackReplicas map[jobRack]int
}
