package httpapi

// EmptyAnswer is the answer to commands without a result.
type EmptyAnswer struct{}
