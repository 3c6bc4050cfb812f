package proxy

import (
	"context"

	"github.com/cactusreel/cactusreel/dedup"
)

// Home is the owner of a cell according to this VM's view.
type Home struct {
	// VM is the owner's id.
	VM string
	// Address is the IP address and port of the owner's PeerHandler.
	Address string
	// Term is the owner's term.
	Term int64
}

// Directory looks up the home of a cell. Its methods are called concurrently and
// must not block.
type Directory interface {
	// Home returns the owner of a cell, or false if none is known.
	Home(cell dedup.Cell) (Home, bool)
	// FreshCell returns the cell for a new request id, chosen by a random
	// number: a cell of this VM if it owns one, otherwise a cell of the data
	// centre whose owner is known. It returns false if there is none.
	FreshCell(random uint64) (dedup.Cell, bool)
}

// Acknowledger sends intents to peers.
type Acknowledger interface {
	// Acknowledge asks a VM to record an intent. A nil error is the VM's
	// acknowledgement. An error with code result.OutcomeUnknown means that
	// the VM has a record that the id has run.
	Acknowledge(ctx context.Context, vm string, in dedup.Intent) error
}
