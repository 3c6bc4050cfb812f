package bench

// job is one row to measure.
type job struct {
	deployment Deployment
	scenario   Scenario
	variant    Variant
}
