package dedup

import "time"

// Takeover describes a claim by this VM that has been read back.
type Takeover struct {
	// Term is the offset of the claim.
	Term int64
	// Previous is the term of the replaced ownership, 0 if the cell was never
	// claimed.
	Previous int64
	// Synced is whether this VM's present incarnation was in the synced set of
	// the previous owner's last recorded renewal.
	Synced bool
	// Until is the end of the lease.
	Until time.Duration
}
