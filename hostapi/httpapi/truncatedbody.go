package httpapi

// TruncatedBody is the body of the 410 response to a read from below First.
type TruncatedBody struct {
	ErrorBody
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}
