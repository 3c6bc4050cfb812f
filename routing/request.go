package routing

// Scope limits the cells that a request may be routed to.
type Scope uint8

// Scopes, from the widest to the narrowest.
const (
	// Anywhere allows own cells and the cells of all peers.
	Anywhere Scope = iota
	// OwnDataCentre allows own cells and the cells of peers in the same data
	// centre.
	OwnDataCentre
	// OwnCells allows own cells only. It is used for requests that were
	// forwarded here and must not be forwarded again.
	OwnCells
)

// Request is the input of one routing decision.
type Request struct {
	Service     string
	Criticality Criticality
	// Caller is a hash of the caller's identity.
	Caller uint64
	// Random is a random number; each decision needs a new one.
	Random uint64
	Scope  Scope
	// Exclude lists servers that must not be chosen because the request was
	// already sent to them.
	Exclude []*Server
}
