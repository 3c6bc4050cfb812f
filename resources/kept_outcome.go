package resources

// keptOutcome is an outcome with the fingerprint of its operation.
type keptOutcome struct {
	Outcome
	Fingerprint uint64 `json:"fingerprint"`
}
