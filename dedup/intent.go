package dedup

// Intent announces to a peer that an id is about to run.
type Intent struct {
	Cell Cell
	// Term is the home's term; a peer that knows a higher one rejects it.
	Term int64
	ID   string
	// Fingerprint is a hash of what the id stands for.
	Fingerprint uint64
}
