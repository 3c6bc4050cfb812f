package ownership

import "time"

// State is this VM's own state with regard to a cell.
type State string

// States of design 3.8.
const (
	// StateNone means that this VM does not own the cell.
	StateNone State = "none"
	// StateWaiting means that the lease is in force after a claim by expiry,
	// but requests of the former owner may still use slots. Tasks may be placed.
	StateWaiting State = "waiting"
	// StateHeld means that the lease is in force.
	StateHeld State = "held"
	// StateVouched means that the lease has ended and every VM that could
	// claim the cell has promised not to.
	StateVouched State = "vouched"
	// StateReduced means that the lease has ended without all promises, or
	// has not begun.
	StateReduced State = "reduced"
	// StateLost means that a newer term is known and requests are draining.
	StateLost State = "lost"
	// StateRescue means that this VM may move the cell's tasks away, and
	// nothing else.
	StateRescue State = "rescue"
)

// View is what a machine knows of one cell.
type View struct {
	Cell int `json:"cell"`
	// Owner is the VM that owns the cell by the records read, or "".
	Owner string `json:"owner,omitempty"`
	// Incarnation is the owner's.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Term is the offset of the record that made it the owner.
	Term int64 `json:"term"`
	Own  State `json:"own"`
	// OwnTerm is the term of this VM's ownership in every state but
	// StateNone. In StateLost it is below the newest term.
	OwnTerm int64 `json:"ownTerm,omitempty"`
	// WaitUntil is the end of StateWaiting on the local clock.
	WaitUntil time.Duration `json:"waitUntil,omitempty"`
	// Slots is how many slots of each worker this VM may use now.
	Slots int `json:"slots"`
	// PlaceUntil is the end of the authority to place tasks on the local
	// clock, without regard to freshness. Authority holds while now is before it.
	PlaceUntil time.Duration `json:"placeUntil"`
	// Predecessors counts former owners that are not known gone.
	Predecessors int `json:"predecessors"`
}
