package preemption

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
)

func cores(n int64) hostapi.Resources { return hostapi.Resources{MilliCPU: 1000 * n} }

// Guards against stopping runs that are not needed for the request to fit, and against a set
// that doesn't make it fit.
func TestSelect(t *testing.T) {
	candidates := []Candidate{{cores(1), 1}, {cores(2), 2}, {cores(8), 3}, {cores(8), 9}}
	for _, test := range []struct {
		free, request int64
		selected      []int
		cost          float64
		ok            bool
	}{
		{free: 4, request: 4, ok: true},
		{free: 3, request: 4, selected: []int{0}, cost: 1, ok: true},
		{free: 0, request: 8, selected: []int{2}, cost: 3, ok: true},
		{free: 0, request: 10, selected: []int{2, 1}, cost: 5, ok: true},
		{free: -2, request: 17, selected: []int{3, 2, 1, 0}, cost: 15, ok: true},
		{free: 0, request: 20},
	} {
		is := is.New(t)
		selected, cost, ok := Select(cores(test.free), cores(test.request), candidates)
		is.Equal(selected, test.selected)
		is.Equal(cost, test.cost)
		is.Equal(ok, test.ok)
	}
}
