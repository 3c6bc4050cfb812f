package interference

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestObserveTellsPairsApart guards against attributing a slowdown to both kinds
// beside a victim when only one causes it, and against treating a pair as
// symmetric.
func TestObserveTellsPairsApart(t *testing.T) {
	is := is.New(t)
	m := New()
	for range 60 {
		m.Observe(0, "web", []string{"noisy", "quiet"}, 0.5, 1.5)
		m.Observe(0, "web", []string{"quiet"}, 0.5, 1.0)
		m.Observe(0, "noisy", []string{"web"}, 0.5, 1.0)
	}
	is.True(math.Abs(m.Estimate(0, "web", "noisy", 0.5).Mean-math.Log(1.5)) < 0.05)
	is.True(m.Estimate(0, "web", "quiet", 0.5).Mean < 0.05)
	is.True(m.Estimate(0, "noisy", "web", 0.5).Mean < 0.05)
}

// TestEstimatesDecay guards against estimates from old reports that keep a low
// variance.
func TestEstimatesDecay(t *testing.T) {
	is := is.New(t)
	m := New()
	unknown := m.Estimate(0, "web", "noisy", 0.5).Variance
	for range 60 {
		m.Observe(0, "web", []string{"noisy"}, 0.5, 1.5)
	}
	known := m.Estimate(0, "web", "noisy", 0.5).Variance
	is.True(known < unknown/10)
	is.True(m.Estimate(30*time.Minute, "web", "noisy", 0.5).Variance > 2*known)
	is.Equal(m.Estimate(24*time.Hour, "web", "noisy", 0.5).Variance, unknown)
}

// TestEstimateFromOtherBucket guards against ignoring at one load what was measured
// at another, and against giving it the low variance of a measurement at that load.
func TestEstimateFromOtherBucket(t *testing.T) {
	is := is.New(t)
	m := New()
	for range 60 {
		m.Observe(0, "web", []string{"noisy"}, 0.9, 1.5)
	}
	low := m.Estimate(0, "web", "noisy", 0.1)
	is.True(low.Mean > 0.3)
	is.Equal(low.Variance, priorVariance)
}
