package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// fillWithLongRunning submits long-running tasks that request up to a share of the CPU of the workers
// that stay.
func (l *loadSim) fillWithLongRunning(share float64, stays func(i int) bool) {
	total := 0.0
	for i, w := range l.sortedWorkers() {
		if stays(i) {
			total += float64(w.info.Capacity.MilliCPU)
		}
	}
	const precision = 0.005
	for requested := 0.0; requested < (share-precision)*total; {
		s := l.officeSync()
		more := float64(s.Steps[0].Tasks) * float64(s.Steps[0].Request.MilliCPU)
		if requested+more <= share*total {
			requested += more
			l.submit(s)
			l.run(20 * time.Millisecond)
		}
	}
}

// cpuOfWaiting returns the CPU that the long-running tasks without a run request, and what is free on
// the workers, in thousandths of a core.
func (l *loadSim) cpuOfWaiting() (requested, free int64) {
	for id := range l.waitingSince() {
		requested += l.ledger.Find(id.Submission).Steps[id.Step].Request.MilliCPU
	}
	for _, w := range l.workers {
		if !w.gone {
			free += w.info.Capacity.MilliCPU - w.used().MilliCPU
		}
	}
	return requested, free
}

// Guards against long-running tasks of lost workers that wait although twice the CPU that they request
// is free, because it lies in pieces that are too small for them.
func TestLongRunningTasksRunAgainWhereRoomIsInPieces(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			l := newLoadSim(seed, 120)
			l.run(2 * time.Second)
			stays := func(i int) bool { return i%7 != 0 }
			l.fillWithLongRunning(0.96, stays)
			l.run(5 * time.Second)
			is.Equal(len(l.waitingSince()), 0)
			var left []workload.Worker
			for i, w := range l.sortedWorkers() {
				if stays(i) {
					left = append(left, w.info)
				} else {
					l.lose(w)
				}
			}
			l.run(3 * time.Second)
			l.step(dispatch.WorkersListed{Workers: left})
			l.run(dispatch.LeaseExpiryBound(simLease) - 3*time.Second + maxRestartDelay)
			if requested, free := l.cpuOfWaiting(); requested > 0 && free >= 2*requested {
				t.Errorf("%d tasks wait for %dm, and %dm are free", len(l.waitingSince()), requested, free)
			}
		})
	}
}
