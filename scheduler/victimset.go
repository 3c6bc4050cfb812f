package scheduler

// victimSet is a set of attempts whose preemption frees enough capacity on a
// worker.
type victimSet struct {
	candidate Candidate
	victims   []*Attempt
	cost      float64
}
