package capacity

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// Guards against exchanged axes and against a slope fitted to a single size.
func TestFit(t *testing.T) {
	is := is.New(t)
	s, err := Fit("heap", "job", "bytes", []Point{{10, 120}, {20, 220}, {30, 320}})
	is.NoErr(err)
	is.True(math.Abs(s.Slope-10) < 1e-9)
	is.True(math.Abs(s.Base-20) < 1e-9)
	is.True(math.Abs(s.At(100)-1020) < 1e-9)
	_, err = Fit("heap", "job", "bytes", []Point{{10, 120}, {10, 130}})
	is.True(err != nil)
}
