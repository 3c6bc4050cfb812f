package scheduler

// jobRack is the key for the replicas of a service in one rack.
type jobRack struct {
	job  string
	rack string
}
