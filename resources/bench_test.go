package resources_test

import (
	"fmt"
	"testing"

	"github.com/cactusreel/cactusreel/resources"
)

// jobsPerDay is the number of jobs created per day at the planned scale.
const jobsPerDay = 48_000

// newStoreWithDayOfJobs returns a store that contains the jobs of one day, and
// the operations that created them.
func newStoreWithDayOfJobs(b *testing.B) (*resources.Store, []resources.Operation) {
	s := resources.New(resources.Limits{})
	ops := make([]resources.Operation, jobsPerDay)
	for i := range ops {
		ops[i] = putOperation(fmt.Sprint(i), job(fmt.Sprintf("job-%d", i), 1), resources.Precondition{})
		if _, err := s.Apply(int64(i)+1, ops[i]); err != nil {
			b.Fatal(err)
		}
	}
	return s, ops
}

// BenchmarkApply measures one put into a store that contains the jobs of one day.
func BenchmarkApply(b *testing.B) {
	s, ops := newStoreWithDayOfJobs(b)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		op := ops[i%len(ops)]
		op.ID = ""
		if _, err := s.Apply(s.View().Offset()+1, op); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSnapshot measures the time to encode a store that contains the jobs
// of one day, and the size of the snapshot.
func BenchmarkSnapshot(b *testing.B) {
	s, _ := newStoreWithDayOfJobs(b)
	b.ReportAllocs()
	for b.Loop() {
		data, _, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
	}
}
