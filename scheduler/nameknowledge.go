package scheduler

import (
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/scheduler/estimate"
)

const (
	// maxNames is how many job names are kept before the oldest are dropped.
	maxNames = 20000
	// nameAge is how long a job's sizes are kept without reports.
	nameAge = 24 * time.Hour
)

// nameKnowledge is what was learned of the jobs of one name.
type nameKnowledge struct {
	size    estimate.Size
	runTime estimate.RunTime
	usedAt  time.Duration
}

// nameOf returns the name in a job id.
func nameOf(job string) string {
	name, _, _ := strings.Cut(job, "/")
	return name
}

// name returns what is known of a job's name, and makes room for it if needed.
func (k *LearnedState) name(now time.Duration, job string) *nameKnowledge {
	n := k.names[nameOf(job)]
	if n == nil {
		if len(k.names) >= maxNames {
			k.dropNames(now)
		}
		n = &nameKnowledge{}
		k.names[nameOf(job)] = n
	}
	n.usedAt = now
	return n
}

// dropNames drops the names without reports for long, or all if none is old.
func (k *LearnedState) dropNames(now time.Duration) {
	for name, n := range k.names {
		if now-n.usedAt > nameAge {
			delete(k.names, name)
		}
	}
	if len(k.names) >= maxNames {
		clear(k.names)
	}
}
