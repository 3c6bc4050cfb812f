package workload

import (
	"strings"
	"time"
)

// Queue accepts submissions under a host and a path prefix.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Policy     Policy
	// Timeout limits the duration of a call; 0 means no limit.
	Timeout time.Duration
	// Public is true if calls need no tenant's key.
	Public bool
	// HasAdvisor is true if an advisor must approve the workers of each step.
	HasAdvisor bool
}

// Manifest is one version of the queues and limits that the operators declare.
type Manifest struct {
	Version int64
	Queues  []Queue
	// Tenants share the services. If there are none, calls need no key.
	Tenants Tenants
	// MaxBodyBytes limits the size of a request body; 0 means no limit.
	MaxBodyBytes int64
}

// Find returns the queue on a host whose path prefix is the longest that matches
// path, and the rest of the path. It returns nil if no queue matches.
func (m *Manifest) Find(host, path string) (q *Queue, rest string) {
	for i := range m.Queues {
		candidate := &m.Queues[i]
		if !strings.EqualFold(candidate.Host, host) || !strings.HasPrefix(path, candidate.PathPrefix) {
			continue
		}
		if q == nil || len(candidate.PathPrefix) > len(q.PathPrefix) {
			q = candidate
		}
	}
	if q == nil {
		return nil, ""
	}
	return q, path[len(q.PathPrefix):]
}
