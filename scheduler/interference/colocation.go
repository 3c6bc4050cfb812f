package interference

// colocation is one pair of a report.
type colocation struct {
	pair  pair
	known Estimate
	// n is how many tasks of the aggressor's kind ran beside the victim.
	n float64
}
