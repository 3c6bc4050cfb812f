package httpapi

// ThrottleRequest is the request body of POST /agent/throttle.
type ThrottleRequest struct {
	AttemptRequest
	Share float64 `json:"share"`
}
