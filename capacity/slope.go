package capacity

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Slope is the least-squares line through the points of a measurement.
type Slope struct {
	// Name is what was measured, Per the thing that the size counts, and Unit
	// the unit of the values.
	Name, Per, Unit string
	Points          []Point
	// Base is the value at size 0, and Slope its growth per unit of size.
	Base, Slope float64
	// R2 is the coefficient of determination; 1 means that the points are on
	// the line.
	R2 float64
}

// Fit returns the line through the points. It fails if there are fewer than two
// distinct sizes.
func Fit(name, per, unit string, points []Point) (Slope, error) {
	s := Slope{Name: name, Per: per, Unit: unit, Points: points}
	x := make([]float64, len(points))
	y := make([]float64, len(points))
	sizes := make(map[float64]bool)
	for i, p := range points {
		x[i], y[i] = p.Size, p.Value
		sizes[p.Size] = true
	}
	if len(sizes) < 2 {
		return s, fmt.Errorf("%s: a slope needs two sizes, got %d", name, len(sizes))
	}
	s.Base, s.Slope = stat.LinearRegression(x, y, nil, false)
	s.R2 = stat.RSquared(x, y, nil, s.Base, s.Slope)
	if math.IsNaN(s.R2) {
		// Equal values have no variance; they lie on the line.
		s.R2 = 1
	}
	return s, nil
}

// At returns the value of the line at a size.
func (s *Slope) At(size float64) float64 {
	return s.Base + s.Slope*size
}
