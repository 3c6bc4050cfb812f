package dedup

// Intent notifies a peer that the home is about to run a request id.
type Intent struct {
	Cell Cell
	// Term is the home's term. A peer that has seen a higher term rejects the
	// intent.
	Term int64
	ID   string
	// Fingerprint is a hash of the request's content.
	Fingerprint uint64
}
