package httpapi

// ThrottleRequest is the body of POST /agent/throttle.
type ThrottleRequest struct {
	AttemptRequest
	Share float64 `json:"share"`
}
