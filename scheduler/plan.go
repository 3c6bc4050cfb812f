package scheduler

// Plan is the result of one round of placement.
type Plan struct {
	// SnapshotVersion is the version of the snapshot that the plan was made from.
	SnapshotVersion int64
	Placements      []Placement
	Unplaced        []UnplacedTask
	// Actions free capacity for tasks of this round. The capacity is reserved for
	// these tasks in the next rounds.
	Actions []Action
}
