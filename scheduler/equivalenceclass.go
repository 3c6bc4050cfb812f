package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// equivalenceClass is what decides whether a task fits: tasks of the same equivalenceClass that come
// after one without a worker need no search.
type equivalenceClass struct {
	job  string
	need hostapi.Resources
}
