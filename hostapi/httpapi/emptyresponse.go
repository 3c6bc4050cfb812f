package httpapi

// EmptyResponse is the response body of commands without a result.
type EmptyResponse struct{}
