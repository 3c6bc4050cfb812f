package scheduler

import "github.com/cactusreel/cactusreel/platform"

// sums are amounts by team and replicas by service and rack.
type sums struct {
	use   map[string]platform.Resources
	racks map[jobRack]int
}
