package dispatch

import "time"

const (
	// gangCost keeps members of gangs from being displaced where other runs can be: the whole
	// gang is lost with one.
	gangCost = 1e6
	// newlyLateWeight is the weight of a run whose submission misses its objective only
	// because it is displaced, uselessWeight that of one whose submission is too late to be
	// of use, or beyond its tenant's rate.
	newlyLateWeight = 2.0
	uselessWeight   = 0.5
	// avoidCost is the cost of the worker on which the task last failed.
	avoidCost = 100
)

// displaceable reports whether a run may be stopped for a long-running task of a priority.
// Long-running runs never are, so no task displaces one that displaced it, and the limit of
// unavailable tasks, which long-running steps have, needs no check.
func (m *Machine) displaceable(r *run, priority int) bool {
	if r.step.LongRunning || r.phase != running || r.stopRequested || r.entry.Policy.Priority < priority {
		return false
	}
	if r.entry.Policy.Priority == priority && m.shares.protects(r) {
		return false
	}
	for _, member := range m.gangOf(r) {
		if m.displacements[member.id.Task].count >= maxDisplacements {
			return false
		}
	}
	return !r.endsWithin(m.now, m.config.StopTime+stopMargin)
}

// gangOf returns the runs of a run's gang, or the run alone.
func (m *Machine) gangOf(r *run) []*run {
	if !r.step.Gang {
		return []*run{r}
	}
	var members []*run
	for _, other := range m.byEntry[r.entry.ID] {
		if other.stepKey() == r.stepKey() && other.id.Run == r.id.Run {
			members = append(members, other)
		}
	}
	return members
}

// endsWithin reports whether a run, if it goes on as fast as reported, ends within a time. A run
// that should have ended already may take any time.
func (r *run) endsWithin(now, limit time.Duration) bool {
	if r.progressPercent <= 0 || r.reportedAt <= r.startedAt {
		return false
	}
	left := r.startedAt + (r.reportedAt-r.startedAt)*100/time.Duration(r.progressPercent) - now
	return left >= 0 && left <= limit
}

// displacementCost returns what stopping a run loses, in seconds of a core: its work that is
// not saved, and the room while it stops, weighted by what that means to its submission.
func (m *Machine) displacementCost(r *run) float64 {
	cost := 0.0
	for _, member := range m.gangOf(r) {
		cost += member.unsavedWork(m.now) + m.config.StopTime.Seconds()*float64(r.step.Request.MilliCPU)/1000
	}
	if r.step.Gang {
		cost += gangCost
	}
	return cost * m.displacementWeight(r)
}

// unsavedWork returns the work that stopping a run loses, in seconds of a core. A stop leaves a
// new checkpoint if the step has them.
func (r *run) unsavedWork(now time.Duration) float64 {
	if r.step.Checkpoints {
		return 0
	}
	progress := time.Duration(r.progressPercent) * r.step.Estimate / 100
	return max(now-r.startedAt, progress).Seconds() * float64(r.step.Request.MilliCPU) / 1000
}

// displacementWeight weighs what displacing a run means to its submission. One beyond its tenant's rate gives
// way before those within the rates.
func (m *Machine) displacementWeight(r *run) float64 {
	task := r.id.Task
	due, objective := r.entry.DueAt(task.Occurrence), m.expected(r.entry).objective
	elapsed := m.wall.Sub(due)
	if m.tenants.overRate.beyond[r.entry] {
		return uselessWeight
	}
	if timelinessOf(r.entry, m.expected(r.entry), task.Step, elapsed) == veryLate {
		return uselessWeight
	}
	// A displaced task repeats its step at worst.
	repeated := elapsed + m.expected(r.entry).chain[task.Step]
	done := min(m.expectedRunTime(r.entry.Queue, r.step), m.now-r.startedAt)
	if repeated > objective && repeated-done <= objective {
		return newlyLateWeight
	}
	return 1
}
