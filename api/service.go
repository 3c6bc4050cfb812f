package api

import "github.com/cactusreel/cactusreel/hostapi"

// ServiceSpec declares a latency-critical service.
type ServiceSpec struct {
	Team     string            `json:"team"`
	TaskKind string            `json:"taskKind"`
	Pool     string            `json:"pool,omitempty"`
	Replicas int               `json:"replicas"`
	Requests hostapi.Resources `json:"requests"`
	// TargetP99Millis is the latency target of the service in milliseconds.
	TargetP99Millis int64 `json:"targetP99Millis"`
	// MaxRequestMillis is the maximum duration of a request from its arrival to
	// its last byte.
	MaxRequestMillis int64 `json:"maxRequestMillis,omitempty"`
	// ProgressMillis is the maximum time without a byte while bytes are due.
	ProgressMillis int64 `json:"progressMillis,omitempty"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// IdempotentMethods replaces the default GET, HEAD, OPTIONS, PUT, DELETE.
	IdempotentMethods []string    `json:"idempotentMethods,omitempty"`
	Criticality       Criticality `json:"criticality,omitempty"`
}
