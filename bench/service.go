package bench

import "time"

// Service is a service of a deployment.
type Service struct {
	Name     string
	Kind     string
	Replicas int
	// CPU is the processors of a replica at the mean load, in thousandths.
	CPU int64
	// Memory of a replica in MiB.
	Memory int64
	// Target is the service's p99 target. Alone on a worker, a replica's p99
	// is a bit over half of it.
	Target time.Duration
}
