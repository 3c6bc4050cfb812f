package scheduler

// eviction is a set of attempts whose end makes room on a worker.
type eviction struct {
	candidate Candidate
	victims   []*Attempt
	cost      float64
}
