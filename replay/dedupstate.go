package replay

// dedupState is the state of a request table that outcome patterns match.
type dedupState struct {
	Home bool  `json:"home"`
	Term int64 `json:"term"`
	IDs  int   `json:"ids"`
}
