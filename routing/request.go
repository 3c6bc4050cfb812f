package routing

// Scope bounds where a request may go.
type Scope uint8

// Scopes, from the widest to the narrowest.
const (
	// Anywhere allows own cells and the cells of all peers.
	Anywhere Scope = iota
	// OwnDataCentre allows own cells and those of peers of the data centre.
	OwnDataCentre
	// OwnCells allows own cells only; it applies at the last hop.
	OwnCells
)

// Request is the input of one routing decision.
type Request struct {
	Service     string
	Criticality Criticality
	// Caller is a hash of the caller's identity.
	Caller uint64
	// Random is a random number, used for this decision only.
	Random uint64
	Scope  Scope
	// Exclude lists servers that this request was already sent to.
	Exclude []*Server
}
