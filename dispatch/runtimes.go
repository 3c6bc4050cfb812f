package dispatch

import (
	"math"
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

const (
	// minRunTimes is the number of steps that a queue's run times are learned from before they
	// are used.
	minRunTimes = 12
	// runTimeMemory is the number of steps after which the oldest have lost most of their weight.
	runTimeMemory = 512
	// runTimeRenewal is the number of steps after which expectations are computed anew.
	runTimeRenewal = 16
)

// runTimes learns how long the tasks of a queue run, given their estimates: a regression of the
// logarithms. Callers' estimates are rough. The worse they are, the less they count against the
// mean of the queue.
type runTimes struct {
	// weight and the sums are those of the steps with a task that ended; x is the logarithm of the
	// estimate, y that of the run time.
	weight, x, y, xx, xy float64
	// observed is the number of steps, version changes when expectations change.
	observed float64
	version  int
}

// add adds a run of one of a step's tasks. Each step counts as much, however many tasks it has.
func (r *runTimes) add(estimate, took time.Duration, tasks int) {
	const shortest = time.Millisecond
	x, y, weight := math.Log(max(estimate, shortest).Seconds()), math.Log(max(took, shortest).Seconds()), 1/float64(max(tasks, 1))
	keep := math.Max(0, 1-weight/runTimeMemory)
	r.weight, r.x, r.y, r.xx, r.xy = keep*r.weight+weight, keep*r.x+weight*x, keep*r.y+weight*y, keep*r.xx+weight*x*x, keep*r.xy+weight*x*y
	before := int(r.observed / runTimeRenewal)
	r.observed += weight
	if r.observed >= minRunTimes && (r.version == 0 || int(r.observed/runTimeRenewal) != before) {
		r.version++
	}
}

// expected returns the run time that is expected of a task with an estimate.
func (r *runTimes) expected(estimate time.Duration) time.Duration {
	if r == nil || r.version == 0 || estimate <= 0 {
		return estimate
	}
	meanX, meanY, slope := r.regression()
	seconds := math.Exp(meanY + slope*(math.Log(estimate.Seconds())-meanX))
	return time.Duration(seconds * float64(time.Second))
}

// regression returns the means of the logarithms of estimates and run times, and the slope of the line
// through them.
func (r *runTimes) regression() (meanX, meanY, slope float64) {
	meanX, meanY = r.x/r.weight, r.y/r.weight
	slope = 1
	if spread := r.xx/r.weight - meanX*meanX; spread > 1e-6 {
		slope = min(1, max(0, (r.xy/r.weight-meanX*meanY)/spread))
	}
	return meanX, meanY, slope
}

// observeRunTime learns from a run that has succeeded. Runs that began in an earlier epoch, from a
// checkpoint, away from their data, or beside others that take their CPU say nothing about the
// work.
func (m *Machine) observeRunTime(r *run) {
	step := r.step
	if step.LongRunning || step.BestEffort || step.Estimate <= 0 || r.startedAt == 0 || r.checkpoint != "" || r.order>>placementBits != m.config.Epoch {
		return
	}
	if step.SameRack || step.DataRack != "" && step.DataRack != r.worker.Rack {
		return
	}
	times := m.runTimes[r.entry.Queue]
	if times == nil {
		if len(m.runTimes) >= maxSizeSamples {
			return
		}
		times = new(runTimes)
		m.runTimes[r.entry.Queue] = times
	}
	times.add(step.Estimate, m.now-r.startedAt, step.Tasks)
}

// expectedRunTime returns the run time that is expected of the tasks of a step.
func (m *Machine) expectedRunTime(queue string, step *workload.Step) time.Duration {
	if !hasLearnedRunTime(step) {
		return step.Estimate
	}
	return m.runTimes[queue].expected(step.Estimate)
}

// hasLearnedRunTime reports whether the run time that is expected of a step depends on those of
// its queue.
func hasLearnedRunTime(step *workload.Step) bool { return !step.LongRunning && !step.BestEffort }
