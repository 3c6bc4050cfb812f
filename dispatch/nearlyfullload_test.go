package dispatch_test

import (
	"cmp"
	"slices"
	"sync"
	"testing"
	"time"
)

// nearlyFullLoad is a load of urgent batches beside long-running tasks of the same priority, which
// arrive steadily until they request most of the CPU and are not cancelled. What they leave exceeds
// the mean demand of the batches.
type nearlyFullLoad struct {
	seed    uint64
	workers int
}

const (
	// nearlyFullFrom and nearlyFullTo are the fractions of the CPU that long-running tasks request
	// when the batches begin to arrive and from half of nearlyFullDuration on.
	nearlyFullFrom     = 0.86
	nearlyFullTo       = 0.945
	nearlyFullDuration = 30 * time.Second
	// aimedLargestShare is the part of a queue's share served that the larger classes of sizes should
	// have. The users' limit is minLargestShare.
	aimedLargestShare = 0.75
)

// nearlyFullPlay is what became of the batches.
type nearlyFullPlay struct {
	served sizeShares
	// demand is the mean CPU of the batches' work, and waiting the most CPU that waiting long-running
	// tasks requested, as fractions of all CPU.
	demand, waiting float64
}

func (p nearlyFullLoad) play() nearlyFullPlay {
	l := newLoadSim(p.seed, p.workers)
	l.run(2 * time.Second)
	total, requested := float64(l.totalCPU()), 0.0
	submitLasting := func() {
		s := l.officeSync()
		requested += float64(s.Steps[0].Tasks) * float64(s.Steps[0].Request.MilliCPU)
		l.submit(s)
	}
	for requested < nearlyFullFrom*total {
		submitLasting()
		l.run(20 * time.Millisecond)
	}
	l.run(3 * time.Second)
	arrivals := l.drawArrivals(float64(p.workers)*sizeSignInRate, nearlyFullDuration, l.urgentCheck)
	byID := make(map[string]*arrival)
	out := nearlyFullPlay{}
	for _, a := range arrivals {
		byID[a.submission.ID] = a
		out.demand += 1000 * a.work / total / nearlyFullDuration.Seconds()
		l.after(a.at, func() { l.submit(a.submission) })
	}
	l.ended = func(id string, took time.Duration) {
		if a := byID[id]; a != nil {
			a.took = took
		}
	}
	for at := time.Duration(0); at < nearlyFullDuration; at += 100 * time.Millisecond {
		due := nearlyFullFrom + (nearlyFullTo-nearlyFullFrom)*min(1, 2*at.Seconds()/nearlyFullDuration.Seconds())
		l.after(at, func() {
			if requested < due*total {
				submitLasting()
			}
			out.waiting = max(out.waiting, (requested-l.longRunningCPU())/total)
		})
	}
	l.run(nearlyFullDuration + 10*time.Second)
	slices.SortStableFunc(arrivals, func(a, b *arrival) int { return cmp.Compare(b.work, a.work) })
	out.served = sharesWithin(arrivals, 3)
	return out
}

// longRunningCPU returns the CPU that long-running runs reserve, in thousandths of a core.
func (l *loadSim) longRunningCPU() float64 {
	sum := 0.0
	for _, w := range l.workers {
		for _, r := range w.runs {
			if r.step.LongRunning {
				sum += float64(r.step.Request.MilliCPU)
			}
		}
	}
	return sum
}

// Guards against large finite work that is not served although the CPU that it needs is free: it lies
// in pieces on many workers, each smaller than a task, beside long-running tasks that all run.
func TestLargeUrgentWorkIsServedOnNearlyFullWorkers(t *testing.T) {
	t.Parallel()
	var plays sync.WaitGroup
	played := make([]nearlyFullPlay, 16)
	for i := range played {
		plays.Go(func() { played[i] = nearlyFullLoad{seed: uint64(i + 1), workers: 120}.play() })
	}
	plays.Wait()
	var sum sizeShares
	for i, p := range played {
		t.Logf("seed %d: served %v; batches need %.3f of the CPU, waiting long-running tasks up to %.3f", i+1, p.served, p.demand, p.waiting)
		sum = sum.plus(p.served)
	}
	for name, share := range map[string]float64{"largest tenth": sum.largest, "fifth below": sum.fifth} {
		if share < aimedLargestShare*sum.all {
			t.Errorf("the %s is served %.2f times as often as the whole queue, want %.2f at least", name, share/sum.all, aimedLargestShare)
		}
	}
}
