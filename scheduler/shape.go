package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// shape is what decides whether a task fits: tasks of the same shape that come
// after one without a worker need no search.
type shape struct {
	job  string
	need hostapi.Resources
}
