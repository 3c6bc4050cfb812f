package coordinator

import "github.com/cactusreel/cactusreel/ledger"

// predecessor is the owner of the epoch before an ownership's, with its recorded witnesses.
type predecessor struct {
	ledger.Owner
	witnesses ledger.Witnesses
}
