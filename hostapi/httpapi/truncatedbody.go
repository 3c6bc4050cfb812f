package httpapi

// TruncatedBody is the answer 410 to a read below First.
type TruncatedBody struct {
	ErrorBody
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}
