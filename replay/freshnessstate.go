package replay

import "time"

// freshnessState is what a trace can state of freshness.
type freshnessState struct {
	// StartUntil is the end of start authority on the local clock.
	StartUntil time.Duration `json:"startUntil"`
	// MayStart means that now is before StartUntil.
	MayStart bool  `json:"mayStart"`
	Head     int64 `json:"head"`
}
