package scheduler

// victimSet is a set of attempts whose end makes room on a worker.
type victimSet struct {
	candidate Candidate
	victims   []*Attempt
	cost      float64
}
