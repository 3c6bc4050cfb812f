package capacity

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against taking the number of processors in a benchmark's name for the
// size, and against fitting benchmarks with different names together.
func TestFitBenchmarks(t *testing.T) {
	is := is.New(t)
	r, err := FitBenchmarks(strings.NewReader(`goos: linux
BenchmarkTick/tasks=100-10    200   1500 ns/op   800 cpu-ns/op
BenchmarkTick/tasks=200-10    100   2500 ns/op  1600 cpu-ns/op
BenchmarkPlace/workers=45/tasks=1300-10   50   9000 ns/op
PASS
`))
	is.NoErr(err)
	is.Equal(len(r.Slopes()), 2)
	s := r.Slopes()[1]
	is.Equal(s.Name+" "+s.Per+" "+s.Unit, "Tick tasks cpu-ns/op")
	is.True(s.Slope > 7.99 && s.Slope < 8.01)
}
