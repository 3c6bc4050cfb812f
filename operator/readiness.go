package operator

// Readiness reports whether this VM may serve reads and submit writes.
type Readiness interface {
	// Ready returns nil, or an error with the code result.NotReady or
	// result.NotRunStopping, which is returned to the operator.
	Ready() error
}
