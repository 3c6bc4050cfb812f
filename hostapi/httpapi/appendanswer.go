package httpapi

// AppendAnswer is the answer to POST /log/<stream>?id=ID.
type AppendAnswer struct {
	Offset int64 `json:"offset"`
}
