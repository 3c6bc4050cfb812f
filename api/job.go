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
	// RunSeconds is the declared run time of a task; it can be far off.
	RunSeconds int64 `json:"runSeconds"`
	// MaxRetries bounds failed attempts of each task.
	MaxRetries int `json:"maxRetries,omitempty"`
	// Cancelled is set by the cancel operation and never unset.
	Cancelled bool `json:"cancelled,omitempty"`
}
