package locality

import "time"

// Choice is what is known of a task that could run at once, but away from its data.
type Choice struct {
	// Near and Away are its expected run times on the rack of its data and on another one.
	Near, Away time.Duration
	// ExpectedWait is the time until there is room on that rack.
	ExpectedWait time.Duration
	// Waited is the time for which the task has waited for it.
	Waited time.Duration
	// UntilObjective and UntilUseless are the times within which the task must end to be in time, and to
	// be of use.
	UntilObjective, UntilUseless time.Duration
	// Scarce: there is little room on all racks, so the longer run away from the data would make
	// other tasks wait.
	Scarce bool
	// Limit is the longest time for which the operators let a task wait.
	Limit time.Duration
}

// waitWeight is the factor of an expected wait: waits are known less well than run times.
const waitWeight = 1.25

// Pays reports whether the task waits. While there is room elsewhere, its end must be expected
// earlier than away from its data, and in time, unless it is of no use away: tasks that are late
// in any case leave the rack to those that are not. While room is scarce the task waits as long as
// that is of use.
func (c Choice) Pays() bool {
	if c.Scarce {
		return c.Away > c.Near && c.Near <= c.UntilUseless && c.Waited < c.Limit
	}
	end := c.ExpectedWait + c.Near
	if c.Waited+c.ExpectedWait > c.Bound() || end > c.UntilUseless {
		return false
	}
	earlier := time.Duration(waitWeight*float64(c.ExpectedWait)) < c.Away-c.Near
	return earlier && (end <= c.UntilObjective || c.Away > c.UntilUseless)
}

// Bound returns the longest time for which the task may wait in all. While there is room elsewhere,
// a forecast that is never met costs it no more than running away would have.
func (c Choice) Bound() time.Duration {
	if c.Scarce {
		return c.Limit
	}
	return min(c.Limit, c.Away-c.Near)
}
