package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a returning data centre whose share of the moved tasks follows the age of
// its summary, which is always new, and not the time since its return.
func TestReturningDataCentreRampsWithTheTimeSinceItsReturn(t *testing.T) {
	is := is.New(t)
	p := newPolicy(0)
	s := snapshotOf(t, workersOf(1))
	weight := func(phaseAge time.Duration) float64 {
		summary := CellSummary{
			Cell: CellID{DataCentre: "maadi"}, Phase: Returning, PhaseAge: phaseAge,
			Free: resources(64, 250, 0), Largest: resources(64, 250, 0), Capacity: resources(64, 250, 0), At: time.Minute,
		}
		return p.cellWeight(time.Minute, s, &summary, cellRequest{need: resources(1, 1, 0)})
	}
	is.True(weight(p.config.RampTime) > 2*weight(0))
	returning := s.WithDataCentre(DataCentre{Phase: Returning, Since: 50 * time.Second})
	is.Equal(p.Summarize(time.Minute, returning, nil).PhaseAge, 10*time.Second)
}

// Guards against a summary that offers attempts as preemptible which the cell's owner does
// not preempt, because its settings protect them earlier than the default does.
func TestSummaryProtectsAttemptsAsConfigured(t *testing.T) {
	is := is.New(t)
	workers := workersOf(1)
	a := runningBatch("import", resources(8, 16, 0))
	a.Progress = 0.5
	workers[0].Attempts = []Attempt{a}
	s, p := snapshotOf(t, workers), newPolicy(0)
	is.Equal(p.Summarize(0, s, nil).Preemptible, resources(8, 16, 0))
	p.config.NearlyDone = 0.4
	is.Equal(p.Summarize(0, s, nil).Preemptible, resources(0, 0, 0))
}
