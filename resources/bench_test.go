package resources_test

import (
	"fmt"
	"testing"

	"github.com/cactusreel/cactusreel/resources"
)

// jobsOfADay is the number of jobs per day at the planned scale.
const jobsOfADay = 48_000

// storeOfADay returns a store that holds the jobs of a day and the operations
// that made them.
func storeOfADay(b *testing.B) (*resources.Store, []resources.Operation) {
	s := resources.New(resources.Limits{})
	ops := make([]resources.Operation, jobsOfADay)
	for i := range ops {
		ops[i] = put(fmt.Sprint(i), job(fmt.Sprintf("job-%d", i), 1), resources.Precondition{})
		if _, err := s.Apply(int64(i)+1, ops[i]); err != nil {
			b.Fatal(err)
		}
	}
	return s, ops
}

// BenchmarkApply measures one put into the store of a day.
func BenchmarkApply(b *testing.B) {
	s, ops := storeOfADay(b)
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

// BenchmarkSnapshot measures the encoding of the store of a day and its size.
func BenchmarkSnapshot(b *testing.B) {
	s, _ := storeOfADay(b)
	b.ReportAllocs()
	for b.Loop() {
		data, _, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
	}
}
