package dispatch_test

import (
	"cmp"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// shortageLoad is a load of urgent batches beside long-running tasks of the same priority, which request
// 0.9 of the CPU until half of the workers are lost. Callers cancel long-running submissions and submit
// others.
type shortageLoad struct {
	seed    uint64
	workers int
	times   float64
}

const (
	shortageDuration = 30 * time.Second
	lostAt           = 3 * time.Second
	turnoverInterval = 2000 * time.Millisecond
)

// shortagePlay is what became of the urgent batches.
type shortagePlay struct {
	served       sizeShares
	neverStarted float64
}

func (p shortageLoad) play() shortagePlay {
	l := newLoadSim(p.seed, p.workers)
	l.run(2 * time.Second)
	var lasting []string
	for requested := 0.0; requested < 0.9*float64(l.totalCPU()); {
		s := l.officeSync()
		requested += float64(s.Steps[0].Tasks) * float64(s.Steps[0].Request.MilliCPU)
		lasting = append(lasting, s.ID)
		l.submit(s)
		l.run(20 * time.Millisecond)
	}
	l.run(3 * time.Second)
	arrivals := l.drawArrivals(p.times*float64(p.workers)*sizeSignInRate, shortageDuration, l.urgentCheck)
	byID := make(map[string]*arrival)
	for _, a := range arrivals {
		byID[a.submission.ID] = a
		l.after(a.at, func() { l.submit(a.submission) })
	}
	l.ended = func(id string, took time.Duration) {
		if a := byID[id]; a != nil {
			a.took = took
		}
	}
	l.after(lostAt, func() {
		for i, w := range l.sortedWorkers() {
			if i%2 == 0 {
				l.lose(w)
			}
		}
	})
	for at := lostAt; at < shortageDuration; at += turnoverInterval {
		l.after(at, func() {
			n := l.random.IntN(len(lasting))
			l.cancelNow(lasting[n])
			s := l.officeSync()
			lasting[n] = s.ID
			l.submit(s)
		})
	}
	l.run(shortageDuration)
	l.run(10 * time.Second)
	slices.SortStableFunc(arrivals, func(a, b *arrival) int { return cmp.Compare(b.work, a.work) })
	never := 0
	for _, a := range arrivals {
		if l.ledger.Find(a.submission.ID).State() == workload.Queued {
			never++
		}
	}
	return shortagePlay{served: sharesWithin(arrivals, 3), neverStarted: float64(never) / float64(len(arrivals))}
}

// urgentCheck returns an urgent batch, some of whose tasks need more CPU than a long-running one.
func (l *loadSim) urgentCheck() *workload.Submission {
	return l.batch("urgent-check", 1+l.random.IntN(3), int(l.drawSkewed(9.5, 0.8, 57)), l.drawSkewed(7500, 0.45, 23000), l.drawSkewed(640, 0.5, 1600), 0)
}

// maxNeverStarted is the part of the urgent batches that may have no run at all.
const maxNeverStarted = 1.0 / 3

// Guards against finite work that is not served, the larger the less, because each piece of room that
// becomes free goes to a long-running task of its priority.
func TestUrgentWorkOfAllSizesIsServedInAShortage(t *testing.T) {
	t.Parallel()
	var plays sync.WaitGroup
	played := make([]shortagePlay, 8)
	for i := range played {
		plays.Go(func() { played[i] = shortageLoad{seed: uint64(i + 1), workers: 120, times: 1.2}.play() })
	}
	plays.Wait()
	var sum sizeShares
	neverStarted := 0.0
	for i, p := range played {
		t.Logf("seed %d: served %v; %.2f never started", i+1, p.served, p.neverStarted)
		sum, neverStarted = sum.plus(p.served), neverStarted+p.neverStarted/float64(len(played))
	}
	for name, share := range map[string]float64{"largest tenth": sum.largest, "fifth below": sum.fifth} {
		if share < minLargestShare*sum.all {
			t.Errorf("the %s is served %.2f times as often as the whole queue, want %.2f at least", name, share/sum.all, minLargestShare)
		}
	}
	if neverStarted > maxNeverStarted {
		t.Errorf("%.2f never started, want %.2f at most", neverStarted, maxNeverStarted)
	}
}
