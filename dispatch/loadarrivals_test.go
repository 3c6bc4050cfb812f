package dispatch_test

import (
	"fmt"
	"math"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// drawSkewed draws from a normal distribution around a mean, limited to the range
// from a quarter of the mean to most.
func (l *loadSim) drawSkewed(mean, spread, most float64) float64 {
	return min(most, max(mean/4, mean*(1+spread*l.random.NormFloat64())))
}

// batch returns a submission of steps that each depend on the previous one.
func (l *loadSim) batch(queue string, steps, width int, milliCPU, estimate float64, priority int) *workload.Submission {
	l.serial++
	s := &workload.Submission{
		ID: fmt.Sprintf("%s-%d", queue, l.serial), Queue: queue,
		Policy: workload.Policy{Service: "register", MaxAttempts: 4, SlackFactor: 1.5, TargetCompletion: 300 * time.Millisecond, Priority: priority},
	}
	if l.estimateSpread > 0 {
		l.runTimes[s.ID] = time.Duration(estimate) * time.Millisecond
		estimate *= 0.7 * math.Exp(l.estimateSpread*l.noise.NormFloat64())
	}
	for i := range steps {
		step := workload.Step{
			Tasks: width, Image: fmt.Sprintf("%s-%d", queue, l.serial%9), BestEffort: priority > 0,
			Request:  hostapi.Resources{MilliCPU: int64(milliCPU), MemoryMiB: int64(milliCPU) * 2},
			Estimate: time.Duration(estimate) * time.Millisecond,
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		s.Steps = append(s.Steps, step)
	}
	return s
}

// runTime returns how long a task of a step runs on average.
func (l *loadSim) runTime(s *workload.Submission, step *workload.Step) time.Duration {
	if runTime, known := l.runTimes[s.ID]; known {
		return runTime
	}
	return step.Estimate
}

// scheduleArrivals submits submissions as a Poisson process with perSecond arrivals
// per second on average.
func (l *loadSim) scheduleArrivals(perSecond float64, until time.Duration, next func() *workload.Submission) {
	pause := time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second))
	if l.now+pause > until {
		return
	}
	l.after(pause, func() {
		l.submit(next())
		l.scheduleArrivals(perSecond, until, next)
	})
}

func (l *loadSim) signIn() *workload.Submission {
	steps := 1 + l.random.IntN(2)
	return l.batch("sign-in", steps, int(l.drawSkewed(9.5, 0.8, 57)), l.drawSkewed(10000, 0.45, 31000), l.drawSkewed(640, 0.5, 1600), 0)
}

func (l *loadSim) mealClaim() *workload.Submission {
	return l.batch("meal-claim", 2, int(l.drawSkewed(20, 0.6, 80)), l.drawSkewed(7000, 0.3, 14000), l.drawSkewed(1700, 0.5, 4300), 2)
}

func (l *loadSim) officeSync() *workload.Submission {
	s := l.batch("office-sync", 1, int(l.drawSkewed(14, 0.4, 28)), l.drawSkewed(13000, 0.25, 20000), 500, 0)
	s.Steps[0].LongRunning, s.Steps[0].LatencyTarget = true, 50*time.Millisecond
	return s
}
