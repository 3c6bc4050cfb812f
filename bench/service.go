package bench

import "time"

// Service is a service of a deployment.
type Service struct {
	Name     string
	Kind     string
	Replicas int
	// CPU is what a replica uses at the mean load, in thousandths of a core.
	CPU int64
	// Memory of a replica in MiB.
	Memory int64
	// Target is the service's p99 latency target. A replica without colocated
	// tasks has a p99 slightly above half of it.
	Target time.Duration
}
