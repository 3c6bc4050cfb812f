package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// minServedShare is the fraction of the urgent batches that must be served, as stated for the
// largest deployment.
const minServedShare = 0.9

// longRunningShare is the fraction of all CPU that long-running tasks request in packingLoad.
const longRunningShare = 0.9

// largeRequest is the CPU of a large task, the mean of the urgent batches, in thousandths of a
// core.
const largeRequest = 20000

// packingLoad is a load of urgent batches, whose tasks need 5 to 60 cores, beside long-running
// tasks, half of whose steps have a limit per worker. The batches need half of the CPU that the
// long-running tasks leave.
type packingLoad struct{ *loadSim }

func newPackingLoad(seed uint64, workers int) packingLoad {
	l := packingLoad{loadSim: newLoadSim(seed, workers)}
	l.run(2 * time.Second)
	for requested := int64(0); float64(requested) < longRunningShare*float64(l.totalCPU()); {
		s := l.largeOfficeSync()
		s.Steps[0].MaxPerWorker = l.random.IntN(2)
		requested += int64(s.Steps[0].Tasks) * s.Steps[0].Request.MilliCPU
		l.submit(s)
		l.run(10 * time.Millisecond)
	}
	l.run(time.Second)
	return l
}

// play lets batches arrive for a time and returns them.
func (l packingLoad) play(d time.Duration) []*arrival {
	arrivals := l.drawArrivals(float64(len(l.workers))*largeSignInRate, d, l.largeSignIn)
	byID := make(map[string]*arrival)
	for _, a := range arrivals {
		byID[a.submission.ID] = a
		l.after(a.at, func() { l.submit(a.submission) })
	}
	l.ended = func(id string, took time.Duration) { byID[id].took = took }
	l.run(d + 5*time.Second)
	return arrivals
}

// Guards against long-running tasks that are spread over all workers, so that none has room for
// large urgent tasks although a tenth of all CPU is free.
func TestLargeTasksAreServedBesideLongRunningOnes(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			l := newPackingLoad(seed, 890)
			all := l.play(6 * time.Second)
			large := slices.DeleteFunc(slices.Clone(all), func(a *arrival) bool { return a.submission.Steps[0].Request.MilliCPU < largeRequest })
			served, largeServed := sharesWithin(all, 3).all, sharesWithin(large, 3).all
			t.Logf("served %.2f, of the large ones %.2f; in time %.2f", served, largeServed, sharesWithin(all, 1).all)
			if served < minServedShare {
				t.Errorf("%.2f of the batches were served, not %v", served, minServedShare)
			}
			if largeServed < served/2 {
				t.Errorf("%.2f of the batches of large tasks were served, less than half of %.2f", largeServed, served)
			}
			if n := len(l.waitingSince()); n > 0 {
				t.Errorf("%d long-running tasks have no run", n)
			}
		})
	}
}

// Guards against long-running tasks that share few workers while most have none: more of them
// would end with one worker.
func TestFewLongRunningTasksAreSpread(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.listWorkers(8, func(int, *workload.Worker) {})
	for i := range 8 {
		h.submit(fmt.Sprint("service-", i), lastingStep(1, 8000))
	}
	used := make(map[string]bool)
	for _, a := range h.actions {
		if start, ok := a.(dispatch.Start); ok {
			used[start.Worker] = true
		}
	}
	is.Equal(len(used), 8)
}
