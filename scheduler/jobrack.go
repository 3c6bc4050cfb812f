package scheduler

// jobRack names the replicas of a service in one rack.
type jobRack struct {
	job  string
	rack string
}
