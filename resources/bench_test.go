package resources_test

import (
	"fmt"
	"testing"

	"github.com/cactusreel/cactusreel/resources"
)

// BenchmarkApply measures one put into a store that holds the jobs of a day at
// the planned scale.
func BenchmarkApply(b *testing.B) {
	s := resources.New(resources.Limits{})
	ops := make([]resources.Operation, 48_000)
	for i := range ops {
		ops[i] = put(fmt.Sprint(i), job(fmt.Sprintf("job-%d", i), 1), resources.Precondition{})
		if _, err := s.Apply(int64(i)+1, ops[i]); err != nil {
			b.Fatal(err)
		}
	}
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
