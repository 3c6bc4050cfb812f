package routing

// OwnerState is the state of a cell's owner as far as routing is concerned.
type OwnerState uint8

// Owner states. The zero value is Lost, which allows no slots.
const (
	// Lost means that a newer term is known: nothing new is sent.
	Lost OwnerState = iota
	// Held means that the lease is in force.
	Held
	// Vouched means that the lease has expired, the log is unreachable and
	// every VM that could claim the cell has promised not to.
	Vouched
	// Reduced means that the lease has expired without all promises.
	Reduced
)

// ReducedSlots is the number of slots per worker that an owner without lease
// and promises may use, and that a successor leaves to each predecessor that
// is not known gone.
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
// total is the worker's number of slots; predecessors counts earlier owners
// that a claim by expiry replaced and that are not known gone.
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
