package api

import "github.com/cactusreel/cactusreel/hostapi"

// TeamSpec declares a team's quota.
type TeamSpec struct {
	Quota hostapi.Resources `json:"quota"`
	// MayBorrow lets the team use what others leave unused until they want it back.
	MayBorrow bool `json:"mayBorrow"`
}
