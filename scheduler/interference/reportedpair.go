package interference

// reportedPair is one pair of kinds in a usage report.
type reportedPair struct {
	pair     pair
	estimate Estimate
	// n is the number of tasks of the aggressor's kind beside the victim.
	n float64
}
