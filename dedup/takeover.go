package dedup

import "time"

// Takeover describes a claim of the cell by this VM that has been read back from
// the log.
type Takeover struct {
	// Term is the log offset of the claim.
	Term int64
	// Previous is the term of the replaced ownership, 0 if the cell was never
	// claimed.
	Previous int64
	// Synced is set if this VM's current incarnation was in the synced set of the
	// previous owner's last recorded renewal.
	Synced bool
	// Until is the end of the lease.
	Until time.Duration
}
