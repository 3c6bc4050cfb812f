package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// load is what a cell is chosen for.
type load struct {
	job     string
	service bool
	urgent  bool
	// takes is set when the task may take the room of ordinary work.
	takes bool
	need  hostapi.Resources
}
