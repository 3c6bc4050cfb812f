package httpapi

// AppendResponse is the response body of POST /log/<stream>?id=ID.
type AppendResponse struct {
	Offset int64 `json:"offset"`
}
