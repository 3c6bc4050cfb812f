package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// equivalenceClass identifies tasks with the same requirements: after one of them
// found no worker in a round, the others need no search.
type equivalenceClass struct {
	job  string
	need hostapi.Resources
}
