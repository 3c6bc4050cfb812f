package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// sums are amounts by team and replicas by service and rack.
type sums struct {
	use   map[string]hostapi.Resources
	racks map[jobRack]int
}
