package httpapi

// CheckpointResponse is the response body of POST /agent/checkpoint.
type CheckpointResponse struct {
	Checkpoint string `json:"checkpoint"`
}
