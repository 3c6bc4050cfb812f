package routing

// OwnerState is the state of this VM's ownership of a cell. It determines how
// many slots the VM may use.
type OwnerState uint8

// Owner states. The zero value is Lost, which allows no slots.
const (
	// Lost means that a newer term is known: no new request may be sent.
	Lost OwnerState = iota
	// Held means that the lease is in force.
	Held
	// Vouched means that the lease has expired, the log is unreachable and
	// every VM that could claim the cell has promised not to.
	Vouched
	// Reduced means that the lease has expired and at least one VM that could
	// claim the cell has not promised not to.
	Reduced
)

// ReducedSlots is the number of slots per worker that an owner in state
// Reduced may use. A successor reserves as many for each predecessor that is
// not known to be gone.
const ReducedSlots = 2

// String returns the state's name in lower case.
func (s OwnerState) String() string {
	switch s {
	case Held:
		return "held"
	case Vouched:
		return "vouched"
	case Reduced:
		return "reduced"
	default:
		return "lost"
	}
}

// SlotsPerWorker returns how many slots of each worker an owner may use. The
// total is the worker's number of slots; predecessors counts previous owners
// that were replaced after their lease expired and that are not known to be
// gone.
func SlotsPerWorker(s OwnerState, total, predecessors int) int {
	full := max(0, total-ReducedSlots*predecessors)
	switch s {
	case Held, Vouched:
		return full
	case Reduced:
		return min(full, ReducedSlots)
	default:
		return 0
	}
}
