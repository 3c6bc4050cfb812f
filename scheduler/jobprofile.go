package scheduler

import (
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/scheduler/estimate"
)

const (
	// maxProfiles is how many job names are kept before the oldest are dropped.
	maxProfiles = 20000
	// profileRetention is how long a job's sizes are kept without reports.
	profileRetention = 24 * time.Hour
)

// jobProfile is what was learned of the jobs of one name.
type jobProfile struct {
	size     estimate.Size
	runTime  estimate.RunTime
	lastUsed time.Duration
}

// jobName returns the name in a job id.
func jobName(job string) string {
	name, _, _ := strings.Cut(job, "/")
	return name
}

// ensureProfile returns what is known of a job's ensureProfile, and makes room for it if needed.
func (k *LearnedState) ensureProfile(now time.Duration, job string) *jobProfile {
	n := k.profiles[jobName(job)]
	if n == nil {
		if len(k.profiles) >= maxProfiles {
			k.dropProfiles(now)
		}
		n = &jobProfile{}
		k.profiles[jobName(job)] = n
	}
	n.lastUsed = now
	return n
}

// dropProfiles drops the names without reports for long, or all if none is old.
func (k *LearnedState) dropProfiles(now time.Duration) {
	for name, n := range k.profiles {
		if now-n.lastUsed > profileRetention {
			delete(k.profiles, name)
		}
	}
	if len(k.profiles) >= maxProfiles {
		clear(k.profiles)
	}
}
