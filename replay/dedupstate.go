package replay

// dedupState is what a trace can state of a request table.
type dedupState struct {
	Home bool  `json:"home"`
	Term int64 `json:"term"`
	IDs  int   `json:"ids"`
}
