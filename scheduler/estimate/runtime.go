package estimate

import (
	"math"
	"time"
)

// RunTime is the learned run time of a job's tasks. The zero value knows nothing.
type RunTime struct {
	tasks  float64
	mean   float64
	square float64
}

// Observe takes the run time of a completed task over all its attempts.
func (r *RunTime) Observe(work time.Duration) {
	r.tasks++
	miss := work.Seconds() - r.mean
	r.mean += miss / r.tasks
	r.square += miss * (work.Seconds() - r.mean)
}

// Total returns an upper estimate of the run time of a task that declares one.
// It is the declared one without evidence.
func (r *RunTime) Total(declared time.Duration) time.Duration {
	if r.tasks == 0 {
		return declared
	}
	margin := 1 + firstMargin/math.Sqrt(r.tasks)
	learned := (r.mean + math.Sqrt(r.square/r.tasks)) * margin
	trust := r.tasks / (r.tasks + declaredWeight)
	return time.Duration((trust*learned + (1-trust)*declared.Seconds()) * float64(time.Second))
}
