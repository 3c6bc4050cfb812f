package scheduler

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// Outcome is the end of an attempt.
type Outcome struct {
	ID     hostapi.AttemptID
	Job    string
	Kind   string
	Worker string
	Boot   string
	// State is completed, failed, stopped or lapsed.
	State hostapi.AttemptState
	// Requests is what the attempt was assigned.
	Requests hostapi.Resources
	// Used is the newest measured resource usage of the attempt, or zero.
	Used hostapi.Resources
	// RanFor is the run time of this attempt.
	RanFor time.Duration
	// TaskRunTime is the run time of the whole task over all its attempts when
	// State is completed, or 0 when unknown.
	TaskRunTime time.Duration
	// Message is why the attempt failed.
	Message string
}
