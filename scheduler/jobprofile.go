package scheduler

import (
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/scheduler/estimate"
)

const (
	// maxProfiles is how many job names are kept before stale ones are dropped.
	maxProfiles = 20000
	// profileRetention is how long the profile of a job name is kept unused.
	profileRetention = 24 * time.Hour
)

// jobProfile is what was learned about all versions of a job.
type jobProfile struct {
	size     estimate.Size
	runTime  estimate.RunTime
	lastUsed time.Duration
}

// jobName returns the name in a job id "<name>/<version>".
func jobName(job string) string {
	name, _, _ := strings.Cut(job, "/")
	return name
}

// ensureProfile returns the profile of a job's name. It creates the profile if
// there is none, and drops others if there are too many.
func (l *LearnedState) ensureProfile(now time.Duration, job string) *jobProfile {
	n := l.profiles[jobName(job)]
	if n == nil {
		if len(l.profiles) >= maxProfiles {
			l.dropProfiles(now)
		}
		n = &jobProfile{}
		l.profiles[jobName(job)] = n
	}
	n.lastUsed = now
	return n
}

// dropProfiles drops the profiles that were not used for profileRetention, or all
// profiles if that leaves too many.
func (l *LearnedState) dropProfiles(now time.Duration) {
	for name, n := range l.profiles {
		if now-n.lastUsed > profileRetention {
			delete(l.profiles, name)
		}
	}
	if len(l.profiles) >= maxProfiles {
		clear(l.profiles)
	}
}
