package ownership

import "time"

// member is the latest process of an entry VM according to the claims stream.
type member struct {
	incarnation uint64
	// joinOffset is the offset of the join record.
	joinOffset int64
	// stopping is set by a renewal that marks the VM as stopping; it takes no
	// more cells.
	stopping bool
	// left is set by the leave record.
	left bool
	// lastReadAt is the local time at which its last record was read.
	lastReadAt time.Duration
}
