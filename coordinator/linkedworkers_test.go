package coordinator_test

import (
	"context"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// linkedWorkers are the workers as one node reaches them: a command to a worker whose
// link is cut has no answer and no effect.
type linkedWorkers struct {
	fakeWorkers
	isCut func(worker string) bool
}

// reaches reports whether a command reaches a worker. If not, it returns after the time
// that the sender waits.
func (l linkedWorkers) reaches(worker string) bool {
	if l.isCut(worker) {
		time.Sleep(700 * time.Millisecond)
		return false
	}
	return true
}

func (l linkedWorkers) Heartbeat(ctx context.Context, epoch int64, h dispatch.Heartbeat) (workload.Report, dispatch.Answer) {
	if !l.reaches(h.Worker) {
		return workload.Report{}, dispatch.NoAnswer
	}
	return l.fakeWorkers.Heartbeat(ctx, epoch, h)
}

func (l linkedWorkers) Start(ctx context.Context, epoch int64, s dispatch.Start) dispatch.StartResult {
	if !l.reaches(s.Worker) {
		return dispatch.StartResult{Answer: dispatch.NoAnswer}
	}
	return l.fakeWorkers.Start(ctx, epoch, s)
}

func (l linkedWorkers) Stop(ctx context.Context, epoch int64, s dispatch.Stop) dispatch.Answer {
	if !l.reaches(s.Worker) {
		return dispatch.NoAnswer
	}
	return l.fakeWorkers.Stop(ctx, epoch, s)
}

func (l linkedWorkers) Pace(ctx context.Context, epoch int64, s dispatch.Pace) dispatch.Answer {
	if !l.reaches(s.Worker) {
		return dispatch.NoAnswer
	}
	return l.fakeWorkers.Pace(ctx, epoch, s)
}
