package checker

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// accepted is one accepted version.
type accepted struct {
	version int64
	at      time.Duration
}

// configurationJudge holds I10: versions in force never go down at a VM, and
// an accepted version is in force everywhere within the bound.
type configurationJudge struct {
	bound    time.Duration
	accepted []accepted
	inForce  map[string]int64
	// since is when a VM became subject to the bound.
	since map[string]time.Duration
	late  map[string]int64
}

func newConfigurationJudge(bound time.Duration) *configurationJudge {
	return &configurationJudge{
		bound:   bound,
		inForce: make(map[string]int64),
		since:   make(map[string]time.Duration),
		late:    make(map[string]int64),
	}
}

func (j *configurationJudge) observe(index int, e Event) []Violation {
	switch e.Type {
	case ConfigurationAccepted:
		j.accepted = append(j.accepted, accepted{e.Version, e.At})
	case VMStarted:
		j.since[e.VM] = e.At
	case VMLost, StopFinished:
		delete(j.since, e.VM)
		delete(j.inForce, e.VM)
	case ConfigurationInForce:
		return j.adopt(index, e)
	}
	return nil
}

func (j *configurationJudge) adopt(index int, e Event) []Violation {
	before := j.inForce[e.VM]
	if e.Version < before {
		return breach(ConfigurationConvergence, index, e, "%s went back from version %d to %d", e.VM, before, e.Version)
	}
	j.inForce[e.VM] = e.Version
	for _, a := range j.accepted {
		due := max(a.at, j.since[e.VM]) + j.bound
		if a.version > before && a.version <= e.Version && e.At > due {
			return breach(ConfigurationConvergence, index, e, "version %d came into force at %s %v late", a.version, e.VM, e.At-due)
		}
	}
	return nil
}

func (j *configurationJudge) finish(n int, at time.Duration) []Violation {
	var violations []Violation
	for _, vm := range slices.Sorted(maps.Keys(j.since)) {
		for _, a := range j.accepted {
			due := max(a.at, j.since[vm]) + j.bound
			if a.version > j.inForce[vm] && at > due {
				message := fmt.Sprintf("version %d never came into force at %s", a.version, vm)
				violations = append(violations, Violation{Invariant: ConfigurationConvergence, Index: n, At: at, Message: message})
				break
			}
		}
	}
	return violations
}
