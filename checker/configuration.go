package checker

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// acceptedVersion is a configuration version and when it was accepted.
type acceptedVersion struct {
	version int64
	at      time.Duration
}

// configurationChecker checks I10: the version in force at a VM never decreases,
// and an accepted version is in force at every VM within the bound.
type configurationChecker struct {
	bound    time.Duration
	accepted []acceptedVersion
	inForce  map[string]int64
	// startedAt holds the VMs that are running and the start of each, from which
	// the bound applies to it.
	startedAt map[string]time.Duration
	late      map[string]int64
}

func newConfigurationChecker(bound time.Duration) *configurationChecker {
	return &configurationChecker{
		bound:     bound,
		inForce:   make(map[string]int64),
		startedAt: make(map[string]time.Duration),
		late:      make(map[string]int64),
	}
}

func (c *configurationChecker) observe(index int, e Event) []Violation {
	switch e.Type {
	case ConfigurationAccepted:
		c.accepted = append(c.accepted, acceptedVersion{e.Version, e.At})
	case VMStarted:
		c.startedAt[e.VM] = e.At
	case VMLost, StopFinished:
		delete(c.startedAt, e.VM)
		delete(c.inForce, e.VM)
	case ConfigurationInForce:
		return c.checkInForce(index, e)
	}
	return nil
}

func (c *configurationChecker) checkInForce(index int, e Event) []Violation {
	previous := c.inForce[e.VM]
	if e.Version < previous {
		return violated(ConfigurationConvergence, index, e, "%s went back from version %d to %d", e.VM, previous, e.Version)
	}
	c.inForce[e.VM] = e.Version
	for _, a := range c.accepted {
		due := max(a.at, c.startedAt[e.VM]) + c.bound
		if a.version > previous && a.version <= e.Version && e.At > due {
			return violated(ConfigurationConvergence, index, e, "version %d came into force at %s %v late", a.version, e.VM, e.At-due)
		}
	}
	return nil
}

func (c *configurationChecker) finish(n int, at time.Duration) []Violation {
	var violations []Violation
	for _, vm := range slices.Sorted(maps.Keys(c.startedAt)) {
		for _, a := range c.accepted {
			due := max(a.at, c.startedAt[vm]) + c.bound
			if a.version > c.inForce[vm] && at > due {
				message := fmt.Sprintf("version %d never came into force at %s", a.version, vm)
				violations = append(violations, Violation{Invariant: ConfigurationConvergence, Index: n, At: at, Message: message})
				break
			}
		}
	}
	return violations
}
