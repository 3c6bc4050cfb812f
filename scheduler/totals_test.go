package scheduler

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestTotalsMatchAttempts guards against sums that differ from the attempts after
// many changes of the workers, and against a change that shows in an older
// snapshot.
func TestTotalsMatchAttempts(t *testing.T) {
	is := is.New(t)
	s := snapshotOf(t, workersOf(40))
	first := s
	for n := range 2000 {
		w := *s.At(n * 7 % 40)
		w.Attempts = nil
		for i := range n % 5 {
			a := runningBatch(fmt.Sprintf("j-%d", i), resources(int64(i), 1, 0))
			a.Service, a.Team = true, fmt.Sprintf("team-%d", n%3)
			w.Attempts = append(w.Attempts, a)
		}
		s = s.WithWorkers(int64(n), w)
	}
	want := newTotals()
	for i := range s.Len() {
		want.add(s.At(i), 1)
	}
	is.Equal(s.totals.assigned, want.assigned)
	for team, amount := range want.delta.teamUsage {
		is.Equal(s.totals.teamUsage(team), amount)
	}
	for in, n := range want.delta.rackReplicas {
		is.Equal(s.totals.replicas(in), n)
	}
	is.Equal(first.totals.assigned, resources(0, 0, 0))
}
