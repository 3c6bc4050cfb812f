package dispatch_test

import (
	"testing"
	"time"
)

// BenchmarkOwnerAtPeak measures the CPU time that the decisions of one owner take for
// each second of the largest deployment's load.
func BenchmarkOwnerAtPeak(b *testing.B) { benchmarkOwner(b, 1) }

// BenchmarkOwnerOverloaded runs with twice as much best-effort work as the workers
// have capacity for, so that a long queue builds up.
func BenchmarkOwnerOverloaded(b *testing.B) { benchmarkOwner(b, 4) }

func benchmarkOwner(b *testing.B, times float64) {
	for b.Loop() {
		l := newLoadSim(1, 490)
		for range 150 {
			l.submit(l.officeSync())
		}
		l.run(5 * time.Second)
		l.stepTime, l.starts, l.heartbeats = 0, 0, 0
		until := l.now + 20*time.Second
		l.scheduleArrivals(18.8, until, l.signIn)
		l.scheduleArrivals(26.1*1.5*times, until, l.mealClaim)
		l.run(20 * time.Second)
		b.ReportMetric(l.stepTime.Seconds()/20, "cores")
		b.ReportMetric(float64(l.starts)/20, "starts/s")
		b.ReportMetric(float64(l.heartbeats)/20, "holds/s")
		b.ReportMetric(l.shareWithin("sign-in", 1), "sign-in-in-time")
		b.ReportMetric(l.shareWithin("meal-claim", 1), "meal-claim-in-time")
		b.ReportMetric(float64(len(l.submittedAt)-150), "waiting")
	}
}
