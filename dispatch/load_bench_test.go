package dispatch_test

import (
	"testing"
	"time"
)

// BenchmarkOwnerAtPeak measures the processor time of one owner's decisions
// for each second of the largest deployment's load.
func BenchmarkOwnerAtPeak(b *testing.B) { benchmarkOwner(b, 1) }

// BenchmarkOwnerOverloaded has twice as much best-effort work as there is room
// for, so that a long queue waits.
func BenchmarkOwnerOverloaded(b *testing.B) { benchmarkOwner(b, 4) }

func benchmarkOwner(b *testing.B, times float64) {
	for b.Loop() {
		l := newLoad(1, 490)
		for range 150 {
			l.submit(l.officeSync())
		}
		l.run(5 * time.Second)
		l.stepped, l.starts, l.holds = 0, 0, 0
		until := l.now + 20*time.Second
		l.arrivals(18.8, until, l.signIn)
		l.arrivals(26.1*1.5*times, until, l.mealClaim)
		l.run(20 * time.Second)
		b.ReportMetric(l.stepped.Seconds()/20, "cores")
		b.ReportMetric(float64(l.starts)/20, "starts/s")
		b.ReportMetric(float64(l.holds)/20, "holds/s")
		b.ReportMetric(l.share("sign-in", 1), "sign-in-in-time")
		b.ReportMetric(l.share("meal-claim", 1), "meal-claim-in-time")
		b.ReportMetric(float64(len(l.arrived)-150), "waiting")
	}
}
