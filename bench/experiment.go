package bench

// experiment is one row of the report: a variant in a scenario of a deployment.
type experiment struct {
	deployment Deployment
	scenario   Scenario
	variant    Variant
}
