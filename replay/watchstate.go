package replay

// watchState is what a watch from a version gets.
type watchState struct {
	WatchFrom int64  `json:"watchFrom"`
	Code      string `json:"code"`
	Events    int    `json:"events"`
}
