package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Arrivals of the largest deployment, a second and worker.
const (
	largeSignInRate    = 13.8 / 890
	largeMealClaimRate = 24.3 / 890
)

// largeSizes are the numbers of workers of one cell of the largest deployment, of all of it,
// and of the planned size.
var largeSizes = []int{445, 890, 7900}

// newLargeLoad returns a simulation in which long-running tasks request most of the CPU, as on
// the largest deployment, and are running.
func newLargeLoad(seed uint64, workers int) *loadSim {
	l := newLoadSim(seed, workers)
	l.run(2 * time.Second)
	for range workers * 173 / 890 {
		l.submit(l.largeOfficeSync())
		l.run(20 * time.Millisecond)
	}
	l.run(5 * time.Second)
	return l
}

// play lets the batches arrive at a multiple of their usual rates.
func (l *loadSim) play(d time.Duration, times float64) {
	until := l.now + d
	n := float64(len(l.workers)) * times
	l.scheduleArrivals(n*largeSignInRate, until, l.largeSignIn)
	l.scheduleArrivals(n*largeMealClaimRate, until, l.largeMealClaim)
	l.run(d)
}

func (l *loadSim) largeSignIn() *workload.Submission {
	steps := 1 + l.random.IntN(2)
	return l.batch("sign-in", steps, int(l.drawSkewed(9.4, 0.8, 56)), l.drawSkewed(20000, 0.45, 60000), l.drawSkewed(800, 0.5, 2000), 0)
}

func (l *loadSim) largeMealClaim() *workload.Submission {
	return l.batch("meal-claim", 2, int(l.drawSkewed(39, 0.6, 160)), l.drawSkewed(7000, 0.3, 14000), l.drawSkewed(1700, 0.5, 4300), 2)
}

func (l *loadSim) largeOfficeSync() *workload.Submission {
	s := l.batch("office-sync", 1, int(l.drawSkewed(24, 0.4, 48)), l.drawSkewed(13000, 0.25, 20000), 500, 0)
	s.Steps[0].LongRunning, s.Steps[0].LatencyTarget = true, 50*time.Millisecond
	s.Steps[0].Image = fmt.Sprintf("office-sync-%d", l.serial%16)
	if l.serial%2 == 0 {
		s.Steps[0].MaxPerWorker = 2
	}
	return s
}

// BenchmarkOwnerOfLargeDeployment measures the CPU time of one owner's decisions for a second
// of the largest deployment's load, with all of its workers, with half of them, and with those
// of the planned size.
func BenchmarkOwnerOfLargeDeployment(b *testing.B) {
	for _, workers := range largeSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			for b.Loop() {
				l := newLargeLoad(1, workers)
				l.stepTime, l.starts, l.heartbeats = 0, 0, 0
				l.play(15*time.Second, 1.3)
				b.ReportMetric(l.stepTime.Seconds()/15, "cores")
				b.ReportMetric(float64(l.starts)/15, "starts/s")
				b.ReportMetric(float64(l.heartbeats)/15, "holds/s")
				b.ReportMetric(l.shareWithin("sign-in", 1), "sign-in-in-time")
				b.ReportMetric(l.shareWithin("meal-claim", 1), "meal-claim-in-time")
				b.ReportMetric(float64(len(l.submittedAt)), "waiting")
			}
		})
	}
}

// newCrowdedLoad returns a simulation in which more long-running tasks wait for capacity than
// the workers have, as after the loss of a data centre.
func newCrowdedLoad(seed uint64, workers int) *loadSim {
	l := newLoadSim(seed, workers)
	l.run(2 * time.Second)
	for requested := int64(0); requested < l.totalCPU()*11/10; {
		s := l.largeOfficeSync()
		requested += int64(s.Steps[0].Tasks) * s.Steps[0].Request.MilliCPU
		l.submit(s)
		l.run(20 * time.Millisecond)
	}
	return l
}

// BenchmarkOwnerOfCrowdedDeployment measures the same while long-running tasks wait, with what
// a planning round then takes.
func BenchmarkOwnerOfCrowdedDeployment(b *testing.B) {
	for _, workers := range largeSizes[:2] {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			for b.Loop() {
				l := newCrowdedLoad(1, workers)
				l.stepTime, l.longestStep = 0, 0
				l.play(5*time.Second, 1)
				b.ReportMetric(l.stepTime.Seconds()/5, "cores")
				b.ReportMetric(float64(l.longestStep.Microseconds())/1000, "longest-step-ms")
				b.ReportMetric(float64(len(l.submittedAt)), "waiting")
			}
		})
	}
}

// Guards against planning rounds whose cost grows with the long-running tasks that wait: after
// the loss of a data centre, rounds took all of an owner's time. The cost is compared with that
// of the same batches while none wait, on this machine; an owner plans for a third of its time,
// so it may be three times as high.
func TestWaitingLongRunningTasksAddLittleToTheCostOfPlanning(t *testing.T) {
	cost := func(l *loadSim) time.Duration {
		l.stepCPU = 0
		l.play(2*time.Second, 1)
		return l.stepCPU
	}
	crowded, usual := time.Hour, time.Hour
	for seed := range uint64(3) {
		crowded = min(crowded, cost(newCrowdedLoad(seed, 445)))
		usual = min(usual, cost(newLargeLoad(seed, 445)))
	}
	t.Logf("%v with waiting tasks, %v without", crowded, usual)
	if crowded > 3*usual {
		t.Errorf("%v of decisions in 2 s while long-running tasks wait, %v while none does", crowded, usual)
	}
}

// BenchmarkTakeoverOfLargeDeployment measures the parts of a takeover that are not I/O, with the
// live work of the largest deployment: the snapshot's decoding and application, the new
// owner's machine, and its first planning round.
func BenchmarkTakeoverOfLargeDeployment(b *testing.B) {
	for _, workers := range []int{445, 890} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			l := newLargeLoad(1, workers)
			l.play(15*time.Second, 1.3)
			var data [][]byte
			size := 0
			for _, part := range l.ledger.Snapshot(ledger.Offsets{}) {
				encoded, err := proto.Marshal(part)
				if err != nil {
					b.Fatal(err)
				}
				data, size = append(data, encoded), size+len(encoded)
			}
			var read, opened, planned time.Duration
			n := 0
			for b.Loop() {
				n++
				began := time.Now()
				parts, err := ledger.DecodeSnapshot(data)
				if err != nil {
					b.Fatal(err)
				}
				successor := *l
				successor.ledger = ledger.New()
				successor.ledger.ApplySnapshot(parts)
				read += time.Since(began)
				began = time.Now()
				successor.machine = dispatch.New(dispatch.Config{
					Epoch: 2, Lease: simLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2, StopTime: 200 * time.Millisecond,
				}, successor.ledger, l.now, l.wall())
				opened += time.Since(began)
				began = time.Now()
				successor.machine.Step(l.now, dispatch.WorkersListed{Workers: l.listed()})
				successor.machine.Step(l.now+20*time.Millisecond, dispatch.Tick{Now: l.wall()})
				planned += time.Since(began)
			}
			b.ReportMetric(float64(size)/1000, "snapshot-kB")
			b.ReportMetric(read.Seconds()*1000/float64(n), "read-ms")
			b.ReportMetric(opened.Seconds()*1000/float64(n), "open-ms")
			b.ReportMetric(planned.Seconds()*1000/float64(n), "first-round-ms")
		})
	}
}

// listed returns the list of all workers.
func (l *loadSim) listed() []workload.Worker {
	var list []workload.Worker
	for _, w := range l.workers {
		list = append(list, w.info)
	}
	return list
}
