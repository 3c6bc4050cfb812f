package replay

import "time"

// freshnessState is the state of freshness that outcome patterns match.
type freshnessState struct {
	// StartUntil is the end of the start authority on the local clock.
	StartUntil time.Duration `json:"startUntil"`
	// MayStart means that now is before StartUntil.
	MayStart bool  `json:"mayStart"`
	Head     int64 `json:"head"`
}
