package httpapi

// AppendResponse is the answer to POST /log/<stream>?id=ID.
type AppendResponse struct {
	Offset int64 `json:"offset"`
}
