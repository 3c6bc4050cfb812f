package bench

import (
	"fmt"
	"slices"
)

// Spread is the mean and the range of a value over several seeds.
type Spread struct {
	Mean, Min, Max float64
}

// spreadOf returns the spread of values, one for each run.
func spreadOf(values []float64) Spread {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return Spread{Mean: sum / float64(len(values)), Min: slices.Min(values), Max: slices.Max(values)}
}

// format returns the mean and, if the seeds differ, the range.
func (s Spread) format(digits int) string {
	mean := fmt.Sprintf("%.*f", digits, s.Mean)
	low, high := fmt.Sprintf("%.*f", digits, s.Min), fmt.Sprintf("%.*f", digits, s.Max)
	if low == high {
		return mean
	}
	return fmt.Sprintf("%s (%s-%s)", mean, low, high)
}
