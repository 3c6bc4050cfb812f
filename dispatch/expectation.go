package dispatch

import (
	"maps"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// expectation is what is expected of an occurrence of a submission, by the run times of its queue.
type expectation struct {
	// fixed: it doesn't depend on run times that are learned.
	fixed bool
	// times are the run times of the queue, nil while there are none, and version is theirs.
	times   *runTimes
	version int
	// stepWork is the work of a task of each step, and work that of all tasks, in seconds of a core.
	stepWork []float64
	work     float64
	// chain is, for each step, the run time of the longest chain of steps that begins with it.
	chain []time.Duration
	// longest is the run time of the longest chain.
	longest time.Duration
	// objective is the time within which an occurrence should complete.
	objective time.Duration
}

// expected returns what is expected of a submission.
func (m *Machine) expected(e *ledger.Entry) *expectation {
	known := m.expectations[e]
	if known != nil && (known.fixed || known.times != nil && known.times.version == known.version) {
		return known
	}
	times, version := m.runTimes[e.Queue], 0
	if times != nil {
		version = times.version
	}
	if known == nil || known.version != version {
		known = m.newExpectation(&e.Submission, version)
		m.expectations[e] = known
	}
	known.times = times
	return known
}

func (m *Machine) newExpectation(s *workload.Submission, version int) *expectation {
	x := &expectation{fixed: true, version: version, stepWork: make([]float64, len(s.Steps)), chain: make([]time.Duration, len(s.Steps))}
	longest := time.Duration(0)
	for i := len(s.Steps) - 1; i >= 0; i-- {
		step := &s.Steps[i]
		x.fixed = x.fixed && !hasLearnedRunTime(step)
		runTime := m.expectedRunTime(s.Queue, step)
		x.stepWork[i] = runTime.Seconds() * float64(step.Request.MilliCPU) / 1000
		x.work += float64(step.Tasks) * x.stepWork[i]
		x.chain[i] += runTime
		longest = max(longest, x.chain[i])
		for _, dependency := range step.After {
			x.chain[dependency] = max(x.chain[dependency], x.chain[i])
		}
	}
	x.longest, x.objective = longest, s.ObjectiveOf(longest)
	return x
}

// expectedWork returns the expected work of an occurrence of a submission, in seconds of a core.
func (m *Machine) expectedWork(s *workload.Submission) float64 {
	work := 0.0
	for i := range s.Steps {
		step := &s.Steps[i]
		work += float64(step.Tasks) * m.expectedRunTime(s.Queue, step).Seconds() * float64(step.Request.MilliCPU) / 1000
	}
	return work
}

// remainingWork returns the expected work of the tasks of an occurrence that are not done, in
// seconds of a core.
func (x *expectation) remainingWork(o *ledger.Occurrence) float64 {
	sum := 0.0
	for i := range o.Steps {
		sum += float64(o.Steps[i].Unfinished) * x.stepWork[i]
	}
	return sum
}

// forgetExpectations forgets what is expected of submissions that are final.
func (m *Machine) forgetExpectations() {
	maps.DeleteFunc(m.expectations, func(e *ledger.Entry, _ *expectation) bool { return e.State().Final() })
}
