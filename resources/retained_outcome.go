package resources

// retainedOutcome is an outcome retained for the detection of duplicates, with
// the fingerprint of its operation.
type retainedOutcome struct {
	Outcome
	Fingerprint uint64 `json:"fingerprint"`
}
