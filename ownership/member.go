package ownership

import "time"

// member is a process of an entry VM, as the claims stream tells.
type member struct {
	incarnation uint64
	// joined is the offset of the join record.
	joined int64
	// stopping is set by a renewal of a VM that takes no more cells.
	stopping bool
	// left is set by the leave record.
	left bool
	// readAt is the local time at which its last record was read.
	readAt time.Duration
}
