package api

import "github.com/cactusreel/cactusreel/hostapi"

// TeamSpec declares a team's quota.
type TeamSpec struct {
	Quota hostapi.Resources `json:"quota"`
	// MayBorrow lets the team use capacity above its quota that other teams leave
	// unused, until they need it.
	MayBorrow bool `json:"mayBorrow"`
}
