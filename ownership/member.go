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
	// firstReadAt is the local time at which its first record was read, and syncedAt that of
	// this VM's last renewal that names it as a holder of copies.
	firstReadAt, syncedAt time.Duration
	// lastReadAt is the local time at which its last record was read.
	lastReadAt time.Duration
}
