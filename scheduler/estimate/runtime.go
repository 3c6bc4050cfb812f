package estimate

import (
	"math"
	"time"
)

// RunTime is the learned run time of a job's tasks. The zero value has no
// observations.
type RunTime struct {
	tasks             float64
	mean              float64
	squaredDeviations float64
}

// Observe takes the run time of a completed task over all its attempts.
func (r *RunTime) Observe(runTime time.Duration) {
	r.tasks++
	delta := runTime.Seconds() - r.mean
	r.mean += delta / r.tasks
	r.squaredDeviations += delta * (runTime.Seconds() - r.mean)
}

// Estimate returns an upper estimate of the run time of a task from its declared
// run time. Without observations it is the declared run time.
func (r *RunTime) Estimate(declared time.Duration) time.Duration {
	if r.tasks == 0 {
		return declared
	}
	margin := 1 + baseMargin/math.Sqrt(r.tasks)
	learned := (r.mean + math.Sqrt(r.squaredDeviations/r.tasks)) * margin
	learnedWeight := r.tasks / (r.tasks + declaredWeight)
	return time.Duration((learnedWeight*learned + (1-learnedWeight)*declared.Seconds()) * float64(time.Second))
}
