package httpapi

// CheckpointAnswer is the answer to POST /agent/checkpoint.
type CheckpointAnswer struct {
	Checkpoint string `json:"checkpoint"`
}
