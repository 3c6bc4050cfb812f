package metrics

import "cmp"

// sample is one line of a page.
type sample struct {
	suffix, labels string
	value          float64
}

func compareSamples(a, b sample) int {
	return cmp.Or(cmp.Compare(a.suffix, b.suffix), cmp.Compare(a.labels, b.labels))
}
