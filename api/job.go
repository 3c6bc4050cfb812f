package api

import "github.com/cactusreel/cactusreel/hostapi"

// JobSpec declares batch tasks of one kind.
type JobSpec struct {
	Team     string            `json:"team"`
	TaskKind string            `json:"taskKind"`
	Pool     string            `json:"pool,omitempty"`
	Tasks    int               `json:"tasks"`
	Requests hostapi.Resources `json:"requests"`
	Priority Priority          `json:"priority,omitempty"`
	// RunSeconds is the declared run time of a task; the actual time can be very
	// different.
	RunSeconds int64 `json:"runSeconds"`
	// MaxRetries is the maximum number of retries of each task after failures.
	MaxRetries int `json:"maxRetries,omitempty"`
	// Cancelled is set by the cancel operation and never unset.
	Cancelled bool `json:"cancelled,omitempty"`
}
