package metrics

import "cmp"

// sample is one line of the rendered metrics.
type sample struct {
	// suffix follows the name of the family; labels has no braces.
	suffix, labels string
	value          float64
}

func compareSamples(a, b sample) int {
	return cmp.Or(cmp.Compare(a.suffix, b.suffix), cmp.Compare(a.labels, b.labels))
}
