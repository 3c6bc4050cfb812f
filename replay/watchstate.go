package replay

// watchState is the result of a watch from a version.
type watchState struct {
	WatchFrom int64  `json:"watchFrom"`
	Code      string `json:"code"`
	// Events is the number of events after the version.
	Events int `json:"events"`
}
