package trace

// Kind is the kind of a machine; each is implemented by the package of this name.
type Kind string

// Kinds of machines.
const (
	Ownership Kind = "ownership"
	Tasks     Kind = "tasks"
	Freshness Kind = "freshness"
	Resources Kind = "resources"
	Routing   Kind = "routing"
	Dedup     Kind = "dedup"
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{Ownership, Tasks, Freshness, Resources, Routing, Dedup}
}
