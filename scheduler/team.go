package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// Team is a team's quota in one cell: the team's total quota times the cell's share
// of the capacity in service. A team that is not in the snapshot has a quota of
// zero and may borrow: use capacity above its quota.
type Team struct {
	Name      string
	Quota     hostapi.Resources
	MayBorrow bool
}
