package httpapi

// CheckpointResponse is the answer to POST /agent/checkpoint.
type CheckpointResponse struct {
	Checkpoint string `json:"checkpoint"`
}
