package standin

// TaskKindSpec says how tasks of a kind differ from what their jobs declare.
type TaskKindSpec struct {
	// UsageFactor is the real use of processors and memory over the declared
	// one; 0 stands for 1.
	UsageFactor float64 `json:"usageFactor,omitempty"`
	// RunFactor is the real run time over the stated one; 0 stands for 1.
	RunFactor float64 `json:"runFactor,omitempty"`
	// FailAfter is the work after which each attempt fails; 0 stands for never.
	FailAfter Duration `json:"failAfter,omitempty"`
}
