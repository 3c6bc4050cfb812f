package httpapi

// EmptyResponse is the answer to commands without a result.
type EmptyResponse struct{}
