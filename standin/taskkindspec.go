package standin

// TaskKindSpec describes how the tasks of a kind differ from what their jobs
// declare.
type TaskKindSpec struct {
	// UsageFactor is the ratio of the actual to the requested processors and
	// memory; 0 means 1.
	UsageFactor float64 `json:"usageFactor,omitempty"`
	// RunFactor is the ratio of the actual to the declared run time; 0 means 1.
	RunFactor float64 `json:"runFactor,omitempty"`
	// FailAfter is the work after which each attempt fails; 0 means never.
	FailAfter Duration `json:"failAfter,omitempty"`
}
