package operator

// Readiness tells whether this VM may answer reads and submit writes.
type Readiness interface {
	// Ready returns nil, or an error whose code (result.NotReady or
	// result.NotRunStopping) the operator gets.
	Ready() error
}
