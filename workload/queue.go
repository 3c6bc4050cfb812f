package workload

import (
	"strings"
	"time"
)

// Queue takes submissions under a host and a path prefix.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Policy     Policy
	// Timeout bounds the time that a call may take; 0 is no bound.
	Timeout time.Duration
	// HasAdvisor tells that an adviser must approve the workers of each step.
	HasAdvisor bool
}

// Manifest is one version of the operators' declaration.
type Manifest struct {
	Version int64
	Queues  []Queue
	// MaxBodyBytes bounds the body of a call; 0 is no bound.
	MaxBodyBytes int64
}

// Find returns the queue with the longest prefix of path on a host, and the
// rest of the path.
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
